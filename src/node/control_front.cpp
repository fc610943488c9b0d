#include "node/control_front.h"

#include <utility>

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
  node_.member().call(*directoryCall, kCallDeadline, node_.now(),
                      [this, exchange, directoryCall](const directory::DirectoryReply* reply) {
                        const edge::Answer answer =
                            node_.dialect().controlAnswer(*directoryCall, reply);
                        exchange->respond(answer.status, answer.headers, answer.body);
                      });
  node_.wake();
}

}  // namespace tackpick::node
