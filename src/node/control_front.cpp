#include "node/control_front.h"

#include <utility>

#include "directory/call_name.h"
#include "edge/unanswered.h"
#include "http/status.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

constexpr std::size_t kBodyBytes = 40U << 20U;
/// Callers try another controller after about a second.
constexpr base::Duration kCallDeadline = base::milliseconds(1500);

http::ExchangeLimits limits() {
  http::ExchangeLimits limits;
  limits.bodyBytes = kBodyBytes;
  return limits;
}

}  // namespace

ControlFront::ControlFront(Node& node)
    : node_(node),
      server_(
          node.context(), node.settings().control.host, node.settings().control.port, limits(),
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            onRequest(request, exchange);
          }) {}

void ControlFront::onRequest(const http::RawRequest& request,
                             const std::shared_ptr<http::Exchange>& exchange) {
  edge::ControlCall call = node_.dialect().controlCall(request);
  if (std::holds_alternative<edge::UnknownCall>(call)) {
    exchange->respond(kNotFound, {}, {});
    return;
  }
  if (const auto* malformed = std::get_if<edge::MalformedCall>(&call)) {
    telemetry::logEvent(telemetry::EventId::kChangeRefused,
                        "path=" + request.path() + " reason=" + malformed->why);
    exchange->respond(kBadRequest, {}, malformed->why);
    return;
  }
  const auto directoryCall =
      std::make_shared<directory::DirectoryRequest>(std::get<directory::DirectoryRequest>(call));
  node_.member().call(
      *directoryCall, kCallDeadline, node_.now(),
      [this, exchange, directoryCall, begun = node_.now()](const directory::DirectoryReply* reply) {
        const edge::Answer answer = reply == nullptr
                                        ? edge::unansweredControlCall()
                                        : node_.dialect().controlAnswer(*directoryCall, *reply);
        exchange->respond(answer.status, answer.headers, answer.body);
        onReply(*directoryCall, reply, answer.status, node_.now() - begun);
      });
  node_.wake();
}

void ControlFront::onReply(const directory::DirectoryRequest& request,
                           const directory::DirectoryReply* reply, int status,
                           base::Duration took) {
  const directory::CallName name = directory::nameOf(request);
  node_.metrics().count(telemetry::CounterId::kControlCalls,
                        std::string(name.call) + "_" + std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kControlCallTime, took);
  const bool leaves = name.call == "drain" || name.call == "leave";
  telemetry::Detail detail;
  detail.add("call", name.call).add("subject", name.subject);
  detail.add("status", static_cast<std::uint64_t>(status)).add("took_ms", took);
  if (reply == nullptr) {
    telemetry::logEvent(telemetry::EventId::kCallUnanswered, detail.text());
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
