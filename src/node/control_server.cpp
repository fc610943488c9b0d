#include "node/control_server.h"

#include <utility>

#include "directory/request_label.h"
#include "edge/capacity_call.h"
#include "edge/quarantine_call.h"
#include "edge/timeout_responses.h"
#include "edge/work_call.h"
#include "http/status.h"
#include "node/node.h"
#include "node/work_reader.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

constexpr std::size_t kBodyBytes = 40U << 20U;
/// Callers try another controller after about a second.
constexpr base::Duration kCallDeadline = base::milliseconds(1500);
constexpr std::string_view kReadWork = "read_work";

http::ExchangeLimits limits() {
  http::ExchangeLimits limits;
  limits.maxBodyBytes = kBodyBytes;
  return limits;
}

void logUnanswered(std::string_view call, std::string_view subject, int status,
                   base::Duration took) {
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
      relay_({}),
      server_(
          node.context(), node.settings().control.host, node.settings().control.port, limits(),
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            onRequest(request, exchange);
          }) {}

void ControlServer::onRequest(const http::RawRequest& request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  std::optional<edge::ControlCall> own = edge::quarantineCall(request);
  if (!own) {
    own = edge::capacityCall(request);
  }
  if (!own) {
    own = edge::workCall(request);
  }
  edge::ControlCall call = own ? *own : node_.apiAdapter().controlCall(request);
  if (std::holds_alternative<edge::UnknownCall>(call)) {
    exchange->respond(kNotFound, {}, {});
    return;
  }
  if (const auto* malformed = std::get_if<edge::MalformedCall>(&call)) {
    onUnreadable(request, *malformed);
    exchange->respond(kBadRequest, {}, malformed->why);
    return;
  }
  if (std::holds_alternative<edge::ReadWorkCall>(call)) {
    answerWork(exchange);
    return;
  }
  const auto directoryCall =
      std::make_shared<directory::DirectoryRequest>(std::get<directory::DirectoryRequest>(call));
  const auto* heartbeat = std::get_if<directory::InstanceHeartbeat>(directoryCall.get());
  if (heartbeat != nullptr && answerHeartbeat(*heartbeat, exchange)) {
    return;
  }
  node_.member().call(
      *directoryCall, kCallDeadline, node_.now(),
      [this, exchange, directoryCall, begun = node_.now()](const directory::DirectoryReply* reply) {
        const edge::Response answer =
            reply == nullptr ? edge::controlTimeoutResponse() : answerFor(*directoryCall, *reply);
        exchange->respond(answer.status, answer.headers, answer.body);
        onReply(*directoryCall, reply, answer.status, node_.now() - begun);
      });
  node_.wake();
}

void ControlServer::onUnreadable(const http::RawRequest& request, const edge::MalformedCall& call) {
  node_.metrics().count(telemetry::CounterId::kUnreadableCalls, call.why);
  if (const auto times = m_unreadable.shouldLog(node_.now())) {
    telemetry::logEvent(telemetry::EventId::kChangeRefused, telemetry::EventFields()
                                                                .add("path", request.path())
                                                                .add("reason", call.why)
                                                                .add("calls", *times)
                                                                .text());
  }
}

void ControlServer::answerWork(const std::shared_ptr<http::Exchange>& exchange) {
  readWork(node_, kCallDeadline,
           [this, exchange, begun = node_.now()](const edge::WorkResponses& answers) {
             const edge::Response answer = edge::workResponse(answers);
             exchange->respond(answer.status, answer.headers, answer.body);
             onWorkRead(answers, answer.status, node_.now() - begun);
           });
}

void ControlServer::onWorkRead(const edge::WorkResponses& answers, int status,
                               base::Duration took) {
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        std::string(kReadWork) + "_" + std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kControlCallTime, took);
  if (!answers.ledgers) {
    logUnanswered(kReadWork, "ledgers", status, took);
  }
  if (!answers.controllers) {
    logUnanswered(kReadWork, "controllers", status, took);
  }
}

bool ControlServer::answerHeartbeat(const directory::InstanceHeartbeat& heartbeat,
                                    const std::shared_ptr<http::Exchange>& exchange) {
  using Verdict = directory::HeartbeatRelay::Verdict;
  const Verdict verdict = relay_.take(node_.directory().state(), heartbeat,
                                      node_.member().lastContactAt(), node_.now());
  if (verdict == Verdict::kForward) {
    return false;
  }
  const bool taken = verdict == Verdict::kAccepted;
  const edge::Response answer = taken ? answerFor(directory::DirectoryRequest{heartbeat}, {})
                                      : edge::controlTimeoutResponse();
  exchange->respond(answer.status, answer.headers, answer.body);
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        taken ? "heartbeat_relayed" : "heartbeat_without_leader");
  return true;
}

edge::Response ControlServer::answerFor(const directory::DirectoryRequest& request,
                                        directory::DirectoryReply reply) const {
  if (const auto own = edge::quarantineResponse(request, reply)) {
    return *own;
  }
  if (const auto own = edge::capacityResponse(request, reply)) {
    return *own;
  }
  if (std::holds_alternative<directory::InstanceHeartbeat>(request)) {
    // Later heartbeats come here too, so that each controller takes a part of them.
    const transport::Endpoint& own = node_.settings().control;
    reply.text = own.host + ":" + std::to_string(own.port);
  }
  return node_.apiAdapter().controlResponse(request, reply);
}

void ControlServer::tick() {
  const auto relayed = relay_.due(node_.now());
  if (!relayed) {
    return;
  }
  node_.member().call(
      directory::DirectoryRequest{*relayed}, kCallDeadline, node_.now(),
      [this](const directory::DirectoryReply* reply) { relay_.onTold(reply != nullptr); });
}

void ControlServer::onReply(const directory::DirectoryRequest& request,
                            const directory::DirectoryReply* reply, int status,
                            base::Duration took) {
  const directory::RequestLabel name = directory::labelOf(request);
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        std::string(name.call) + "_" + std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kControlCallTime, took);
  const bool leaves = name.call == "drain" || name.call == "leave";
  telemetry::EventFields detail;
  detail.add("call", name.call).add("subject", name.subject);
  detail.add("status", static_cast<std::uint64_t>(status)).add("took_ms", took);
  if (reply == nullptr) {
    logUnanswered(name.call, name.subject, status, took);
  } else if (name.changes) {
    const bool accepted = status == kOk;
    telemetry::logEvent(
        accepted ? telemetry::EventId::kChangeAccepted : telemetry::EventId::kChangeRefused,
        detail.add("reason", accepted ? "" : reply->text).text());
  } else if (leaves) {
    telemetry::logEvent(telemetry::EventId::kInstanceLeaving, detail.text());
  }
}

}  // namespace tackpick::node
