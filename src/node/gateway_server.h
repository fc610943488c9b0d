/// \file
/// The HTTP interface of a gateway for callers, submitters of batches and readiness probes.
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
#include "node/quarantine_client.h"
#include "node/rejection_log.h"
#include "node/server_load_reporter.h"
#include "node/usage_sender.h"
#include "telemetry/log_rate_limiter.h"
#include "tenancy/tenant_table.h"

namespace tackpick::node {

class Node;

/// Authenticates requests, forwards them to instances, passes job calls to the ledgers and runs
/// leased items. Owned by the event loop of its Node.
class GatewayServer {
 public:
  explicit GatewayServer(Node& node);

  /// Applies a full or incremental view of the cluster.
  void onView(const directory::DirectoryView& view);
  void onConfiguration(const directory::Configuration& newest);
  void tick();
  /// Begins a planned stop: reports not ready and leases no further items.
  void beginStop();
  [[nodiscard]] bool stopComplete() const;
  void updateGauges(telemetry::Metrics& metrics) const;

 private:
  void onRequest(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange);
  /// Rejects a request with an unknown route or key: with `status` if the configuration in force
  /// is recent enough, otherwise with 503 and Retry-After.
  void rejectUnknown(int status, const std::shared_ptr<http::Exchange>& exchange);
  /// Returns the tenant of a request, or std::nullopt if the request was rejected because its key
  /// is unknown.
  [[nodiscard]] std::optional<std::string> authenticate(
      const http::RawRequest& request, const directory::Route* route,
      const std::shared_ptr<http::Exchange>& exchange);
  /// Whether a header carries a caller's key or a tenant's name. Such headers are not forwarded.
  [[nodiscard]] bool isTenantHeader(std::string_view name) const;
  void handleJobCall(jobs::JobRequest request, const std::string& tenant,
                     const std::shared_ptr<http::Exchange>& exchange);
  void onReadiness(const std::shared_ptr<http::Exchange>& exchange) const;
  void callLedgers(const jobs::JobRequest& request,
                   const std::shared_ptr<http::Exchange>& exchange);
  /// Returns the response to a job call; `reply` is null if there was none in time.
  [[nodiscard]] edge::Response jobResponse(const jobs::JobRequest& request,
                                           const jobs::JobReply* reply) const;
  /// Records the metrics and the log event of a finished job call.
  void recordJobReply(const jobs::JobRequest& request, const jobs::JobReply* reply,
                      const edge::Response& response, base::Duration took);
  /// Maximum duration of a planned stop. Shorter than the grace period.
  [[nodiscard]] base::Duration maxStop() const;
  /// Logs connections that were closed because the caller did not read the response.
  void logSlowReaders();
  [[nodiscard]] bool ready() const { return configuration_->version > 0 && !stopping_; }

  Node& node_;
  std::unique_ptr<directory::Configuration> configuration_;
  directory::RouteTable routes_;
  tenancy::TenantTable tenants_;
  forwarding::InstanceTable instances_;
  const directory::RejectionPolicy m_rejectionPolicy;
  RejectionLog m_rejectionLog;
  telemetry::LogRateLimiter m_slowReaderLogLimiter{base::seconds(1)};
  std::uint64_t m_loggedDisconnects = 0;
  UsageSender usage_;
  QuarantineClient m_quarantineClient;
  Forwarder forwarder_;
  MemberLedgerClient ledgers_;
  jobs::ResultReader result_reader_;
  ItemRunner m_itemRunner;
  http::ExchangeServer m_requestServer;
  http::ExchangeServer m_readinessServer;
  ServerLoadReporter m_requestLoadReporter{"callers"};
  ServerLoadReporter m_readinessLoadReporter{"readiness"};
  bool stopping_ = false;
  bool draining_ = false;
  bool m_leasesReleased = false;
  bool m_exchangesEnded = false;  ///< requests still running were answered at the end of the stop
  base::TimePoint m_stopStartedAt{};
};

}  // namespace tackpick::node
