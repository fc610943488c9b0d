/// \file
/// The HTTP interface of a gateway: callers, submitters of batches, readiness.
#pragma once

#include <memory>
#include <optional>

#include "directory/rejection_policy.h"
#include "directory/route_table.h"
#include "forwarding/instance_table.h"
#include "http/exchange_server.h"
#include "node/forwarder.h"
#include "node/item_runner.h"
#include "node/member_ledger_client.h"
#include "node/rejection_log.h"
#include "node/request_guard.h"
#include "node/usage_sender.h"
#include "telemetry/log_rate_limiter.h"
#include "tenancy/tenant_table.h"

namespace tackpick::node {

class Node;

class GatewayServer {
 public:
  explicit GatewayServer(Node& node);

  void onView(const directory::DirectoryView& view);
  void onConfiguration(const directory::Configuration& newest);
  void tick();
  void beginStop();
  [[nodiscard]] bool stopComplete() const;
  void reportFigures(telemetry::Metrics& metrics) const;

 private:
  void onRequest(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange);
  /// Turns away what no route or key of the configuration in force allows: for good with `status`
  /// where that configuration is known to be new enough, else for a moment.
  void refuseUnknown(int status, const std::shared_ptr<http::Exchange>& exchange);
  /// For whom a request is made; nothing when it was answered, since its key is not known.
  [[nodiscard]] std::optional<std::string> identifyTenant(
      const http::RawRequest& request, const directory::Route* route,
      const std::shared_ptr<http::Exchange>& exchange);
  /// A caller's key, or what only this process may say of tenants: is not sent on.
  [[nodiscard]] bool isTenantField(std::string_view name) const;
  void takeJobCall(jobs::JobRequest request, const std::string& tenant,
                   const std::shared_ptr<http::Exchange>& exchange);
  void onReadiness(const std::shared_ptr<http::Exchange>& exchange) const;
  void callLedgers(const jobs::JobRequest& request,
                   const std::shared_ptr<http::Exchange>& exchange);
  void onJobReply(const jobs::JobRequest& request, const jobs::JobReply* reply,
                  const edge::Response& answer, base::Duration took);
  /// How long a planned stop may take; a little of the grace period is left for the end.
  [[nodiscard]] base::Duration maxStop() const;
  /// Tells of callers whose connections were cut since they did not read.
  void logSlowReaders();
  [[nodiscard]] bool ready() const { return configuration_->version > 0 && !stopping_; }

  Node& node_;
  std::unique_ptr<directory::Configuration> configuration_;
  directory::RouteTable routes_;
  tenancy::TenantTable tenants_;
  forwarding::InstanceTable instances_;
  const directory::RejectionPolicy m_refusalPolicy;
  RejectionLog m_refusals;
  telemetry::LogRateLimiter m_cutReaders{base::seconds(1)};
  std::uint64_t m_toldCuts = 0;
  UsageSender usage_;
  RequestGuard m_guard;
  Forwarder forwarder_;
  MemberLedgerClient ledgers_;
  jobs::ResultReader result_reader_;
  ItemRunner items_;
  http::ExchangeServer traffic_;
  http::ExchangeServer readiness_;
  bool stopping_ = false;
  bool draining_ = false;
  bool released_ = false;
  base::TimePoint stop_begun_{};
};

}  // namespace tackpick::node
