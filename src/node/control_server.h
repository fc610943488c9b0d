/// \file
/// The HTTP interface of a controller for operators, instances and trainers.
#pragma once

#include <memory>

#include "directory/directory_messages.h"
#include "directory/heartbeat_relay.h"
#include "edge/api_adapter.h"
#include "edge/work_call.h"
#include "http/exchange_server.h"
#include "node/server_load_reporter.h"
#include "telemetry/log_rate_limiter.h"

namespace tackpick::node {

class Node;

/// Forwards calls to the leading controller, which may be this process. Heartbeats that change no
/// state are answered locally.
class ControlServer {
 public:
  explicit ControlServer(Node& node);

  void tick();

 private:
  void onRequest(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange);

  /// Counts and logs a call that could not be parsed.
  void onMalformedCall(const http::RawRequest& request, const edge::MalformedCall& call);
  /// Records the metrics and the log event of a finished call.
  void recordReply(const directory::DirectoryRequest& request,
                   const directory::DirectoryReply* reply, int status, base::Duration took);

  /// Responds with the open jobs and the weights summary, read from the leaders of both groups.
  void respondWithWork(const std::shared_ptr<http::Exchange>& exchange);
  /// Records the metrics and the timeouts of a finished work call.
  void recordWorkCall(const edge::WorkResponses& responses, int status, base::Duration took);
  /// Answers the heartbeat if this process may do so. Returns false if it must be forwarded to the
  /// leader.
  bool tryAnswerHeartbeat(const directory::InstanceHeartbeat& heartbeat,
                          const std::shared_ptr<http::Exchange>& exchange);
  /// Returns the HTTP response for a reply of the directory.
  [[nodiscard]] edge::Response responseFor(const directory::DirectoryRequest& request,
                                           directory::DirectoryReply reply) const;

  Node& node_;
  directory::HeartbeatRelay m_heartbeatRelay;
  http::ExchangeServer server_;
  ServerLoadReporter m_loadReporter{"operators"};
  telemetry::LogRateLimiter m_malformedLogLimiter{base::seconds(1)};
};

}  // namespace tackpick::node
