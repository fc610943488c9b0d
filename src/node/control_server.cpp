#include "node/control_server.h"

#include <utility>

#include "base/release_memory.h"
#include "directory/request_label.h"
#include "edge/capacity_call.h"
#include "edge/quarantine_call.h"
#include "edge/timeout_responses.h"
#include "edge/work_call.h"
#include "http/status.h"
#include "node/node.h"
#include "node/work_reader.h"
#include "runtime/server_limits.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

constexpr std::size_t kMaxBodyBytes = 40U << 20U;
/// Timeout of calls to the leader. Callers may try another controller before it expires.
constexpr base::Duration kCallTimeout = base::milliseconds(1500);
constexpr std::string_view kReadWork = "read_work";

http::ExchangeLimits limits(const config::ResourceLimits& process) {
  http::ExchangeLimits limits = runtime::serverLimits(process);
  limits.maxBodyBytes = kMaxBodyBytes;
  return limits;
}

void logTimeout(std::string_view call, std::string_view subject, int status, base::Duration took) {
  telemetry::logEvent(telemetry::EventId::kCallUnanswered,
                      telemetry::EventFields()
                          .add("call", call)
                          .add("subject", subject)
                          .add("status", static_cast<std::uint64_t>(status))
                          .add("took_ms", took)
                          .text());
}

}  // namespace

ControlServer::ControlServer(Node& node)
    : node_(node),
      m_heartbeatRelay({}),
      server_(node.context(), node.settings().control.host, node.settings().control.port,
              limits(node.settings().limits),
              [this](http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange) {
                onRequest(std::move(request), exchange);
              }) {}

void ControlServer::onRequest(http::RawRequest request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  std::optional<edge::ControlCall> builtinCall = edge::quarantineCall(request);
  if (!builtinCall) {
    builtinCall = edge::capacityCall(request);
  }
  if (!builtinCall) {
    builtinCall = edge::workCall(request);
  }
  edge::ControlCall call =
      builtinCall ? std::move(*builtinCall) : node_.apiAdapter().controlCall(request);
  if (std::holds_alternative<edge::UnknownCall>(call)) {
    exchange->respond(kNotFound, {}, {});
    return;
  }
  if (const auto* malformed = std::get_if<edge::MalformedCall>(&call)) {
    onMalformedCall(request, *malformed);
    exchange->respond(kBadRequest, {}, malformed->reason);
    return;
  }
  if (std::holds_alternative<edge::ReadWorkCall>(call)) {
    respondWithWork(exchange);
    return;
  }
  base::releaseMemory(request.body);
  const auto directoryCall = std::make_shared<directory::DirectoryRequest>(
      std::move(std::get<directory::DirectoryRequest>(call)));
  const auto* heartbeat = std::get_if<directory::InstanceHeartbeat>(directoryCall.get());
  if (heartbeat != nullptr && tryAnswerHeartbeat(*heartbeat, exchange)) {
    return;
  }
  node_.clusterMember().call(
      *directoryCall, kCallTimeout, node_.now(),
      [this, exchange, directoryCall,
       startedAt = node_.now()](const directory::DirectoryReply* reply) {
        const edge::Response response =
            reply == nullptr ? edge::controlTimeoutResponse() : responseFor(*directoryCall, *reply);
        exchange->respond(response.status, response.headers, response.body);
        recordReply(*directoryCall, reply, response.status, node_.now() - startedAt);
      });
  if (auto* replaced = std::get_if<directory::ReplaceConfiguration>(directoryCall.get())) {
    // The call holds the document in encoded form.
    base::releaseMemory(replaced->configuration.document);
  }
  node_.scheduleIteration();
}

void ControlServer::onMalformedCall(const http::RawRequest& request,
                                    const edge::MalformedCall& call) {
  node_.metrics().count(telemetry::CounterId::kUnreadableCalls, call.reason);
  if (const auto times = m_malformedLogLimiter.shouldLog(node_.now())) {
    telemetry::logEvent(telemetry::EventId::kChangeRefused, telemetry::EventFields()
                                                                .add("path", request.path())
                                                                .add("reason", call.reason)
                                                                .add("calls", *times)
                                                                .text());
  }
}

void ControlServer::respondWithWork(const std::shared_ptr<http::Exchange>& exchange) {
  readWork(node_, kCallTimeout,
           [this, exchange, startedAt = node_.now()](const edge::WorkResponses& responses) {
             const edge::Response response = edge::workResponse(responses);
             exchange->respond(response.status, response.headers, response.body);
             recordWorkCall(responses, response.status, node_.now() - startedAt);
           });
}

void ControlServer::recordWorkCall(const edge::WorkResponses& responses, int status,
                                   base::Duration took) {
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        std::string(kReadWork) + "_" + std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kControlCallTime, took);
  if (!responses.ledgers) {
    logTimeout(kReadWork, "ledgers", status, took);
  }
  if (!responses.controllers) {
    logTimeout(kReadWork, "controllers", status, took);
  }
}

bool ControlServer::tryAnswerHeartbeat(const directory::InstanceHeartbeat& heartbeat,
                                       const std::shared_ptr<http::Exchange>& exchange) {
  using Verdict = directory::HeartbeatRelay::Verdict;
  const Verdict decision = m_heartbeatRelay.accept(
      node_.directory().state(), heartbeat, node_.clusterMember().lastContactAt(), node_.now());
  if (decision == Verdict::kForward) {
    return false;
  }
  const bool accepted = decision == Verdict::kAccepted;
  const edge::Response response = accepted ? responseFor(directory::DirectoryRequest{heartbeat}, {})
                                           : edge::controlTimeoutResponse();
  exchange->respond(response.status, response.headers, response.body);
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        accepted ? "heartbeat_relayed" : "heartbeat_without_leader");
  return true;
}

edge::Response ControlServer::responseFor(const directory::DirectoryRequest& request,
                                          directory::DirectoryReply reply) const {
  if (const auto builtinResponse = edge::quarantineResponse(request, reply)) {
    return *builtinResponse;
  }
  if (const auto builtinResponse = edge::capacityResponse(request, reply)) {
    return *builtinResponse;
  }
  if (std::holds_alternative<directory::InstanceHeartbeat>(request)) {
    // Names this controller as the target of later heartbeats, which spreads them over controllers.
    const transport::Endpoint& ownAddress = node_.settings().control;
    reply.text = ownAddress.host + ":" + std::to_string(ownAddress.port);
  }
  return node_.apiAdapter().controlResponse(request, reply);
}

void ControlServer::tick() {
  m_loadReporter.report(server_.load(), node_.metrics(), node_.now());
  const auto batch = m_heartbeatRelay.takeBatch(node_.now());
  if (!batch) {
    return;
  }
  node_.clusterMember().call(directory::DirectoryRequest{*batch}, kCallTimeout, node_.now(),
                             [this](const directory::DirectoryReply* reply) {
                               m_heartbeatRelay.onBatchAcknowledged(reply != nullptr);
                             });
}

void ControlServer::recordReply(const directory::DirectoryRequest& request,
                                const directory::DirectoryReply* reply, int status,
                                base::Duration took) {
  const directory::RequestLabel name = directory::labelOf(request);
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        std::string(name.call) + "_" + std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kControlCallTime, took);
  const bool isDrainCall = name.call == "drain" || name.call == "leave";
  telemetry::EventFields detail;
  detail.add("call", name.call).add("subject", name.subject);
  detail.add("status", static_cast<std::uint64_t>(status)).add("took_ms", took);
  if (reply == nullptr) {
    logTimeout(name.call, name.subject, status, took);
  } else if (name.isMutation) {
    const bool accepted = status == kOk;
    telemetry::logEvent(
        accepted ? telemetry::EventId::kChangeAccepted : telemetry::EventId::kChangeRefused,
        detail.add("reason", accepted ? "" : reply->text).text());
  } else if (isDrainCall) {
    telemetry::logEvent(telemetry::EventId::kInstanceLeaving, detail.text());
  }
}

}  // namespace tackpick::node
