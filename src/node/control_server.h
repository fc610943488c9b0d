/// \file
/// The HTTP interface of a controller: operators, instances and trainers.
#pragma once

#include <memory>

#include "directory/directory_messages.h"
#include "directory/heartbeat_relay.h"
#include "edge/api_adapter.h"
#include "edge/work_call.h"
#include "http/exchange_server.h"
#include "telemetry/log_rate_limiter.h"

namespace tackpick::node {

class Node;

/// Passes calls to the leading controller, which may be this process. Heartbeats that change
/// nothing are answered here.
class ControlServer {
 public:
  explicit ControlServer(Node& node);

  void tick();

 private:
  void onRequest(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);

  void onUnreadable(const http::RawRequest& request, const edge::MalformedCall& call);
  void onReply(const directory::DirectoryRequest& request, const directory::DirectoryReply* reply,
               int status, base::Duration took);

  /// Answers what waits and why, from the leaders of both groups.
  void answerWork(const std::shared_ptr<http::Exchange>& exchange);
  void onWorkRead(const edge::WorkResponses& answers, int status, base::Duration took);
  /// False when the leader must decide.
  bool answerHeartbeat(const directory::InstanceHeartbeat& heartbeat,
                       const std::shared_ptr<http::Exchange>& exchange);
  /// An answer of the directory as the caller gets it.
  [[nodiscard]] edge::Response answerFor(const directory::DirectoryRequest& request,
                                         directory::DirectoryReply reply) const;

  Node& node_;
  directory::HeartbeatRelay relay_;
  http::ExchangeServer server_;
  telemetry::LogRateLimiter m_unreadable{base::seconds(1)};
};

}  // namespace tackpick::node
