#include "node/platform_client.h"

#include <numeric>
#include <utility>

#include "base/timer.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

/// Timeout of a call; the platform may still execute it afterwards.
constexpr base::Duration kCallTimeout = base::milliseconds(1500);

std::uint64_t totalCount(const duties::WindowUsage& usage) {
  return std::accumulate(usage.counts.begin(), usage.counts.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

/// A call in flight.
struct PlatformClient::Call {
  Call(asio::io_context& context, std::function<void(const CallResult&)> done)
      : callback(std::move(done)), deadline(context) {}

  std::function<void(const CallResult&)> callback;
  base::Timer deadline;
  http::ExchangeId exchange;
  int status = 0;
};

void PlatformClient::send(const duties::UsageReport& report, Callback callback) {
  start(m_node.apiAdapter().usageRequest(report, m_node.settings().name),
        [this, report, callback = std::move(callback)](const CallResult& result) {
          const duties::UsageReportOutcome outcome =
              result.complete ? m_node.apiAdapter().usageReportOutcome(result.status)
                              : duties::UsageReportOutcome::kUnknown;
          logOutcome(report, outcome, result);
          callback(outcome);
        });
}

void PlatformClient::send(const duties::ScaleCall& call, ScaleCallback callback) {
  start(m_node.apiAdapter().scaleRequest(call, m_node.settings().name),
        [this, call, callback = std::move(callback)](const CallResult& result) {
          const duties::ScaleOutcome outcome =
              result.complete ? m_node.apiAdapter().scaleOutcome(call, result.status)
                              : duties::ScaleOutcome::kUnknown;
          logOutcome(call, outcome, result);
          callback(outcome);
        });
}

void PlatformClient::start(http::UpstreamRequest request,
                           std::function<void(const CallResult&)> callback) {
  auto call = std::make_shared<Call>(m_node.context(), std::move(callback));
  const transport::Endpoint& platform = m_node.settings().platformEndpoint;
  request.address = {platform.host, platform.port};
  request.headers.set("Host", platform.host);
  http::UpstreamEvents events;
  events.onHead = [call](int status, const http::HeaderList&) { call->status = status; };
  events.onEnd = [call](const http::UpstreamResult& result) {
    call->deadline.cancel();
    onEnd(call, result.complete, result.error);
  };
  call->exchange = m_node.upstream().start(std::move(request), std::move(events));
  call->deadline.expires_after(kCallTimeout);
  call->deadline.async_wait([this, call](const asio::error_code& error) {
    if (!error) {
      m_node.upstream().cancel(call->exchange);
      onEnd(call, false, "no response within the timeout");
    }
  });
}

void PlatformClient::onEnd(const std::shared_ptr<Call>& call, bool complete,
                           const std::string& error) {
  const auto callback = std::exchange(call->callback, nullptr);
  if (callback) {  // empty if response and timeout occurred in the same iteration
    callback({complete, call->status, error});
  }
}

void PlatformClient::logOutcome(const duties::UsageReport& report,
                                duties::UsageReportOutcome outcome, const CallResult& result) {
  m_node.metrics().count(telemetry::CounterId::kDutyCalls, duties::toString(outcome));
  telemetry::logEvent(outcome == duties::UsageReportOutcome::kAccepted
                          ? telemetry::EventId::kUsageReported
                          : telemetry::EventId::kUsageReportFailed,
                      telemetry::EventFields()
                          .add("window", report.usage.window)
                          .add("total", totalCount(report.usage))
                          .add("fence", report.fence)
                          .add("outcome", duties::toString(outcome))
                          .add("status", static_cast<std::uint64_t>(result.status))
                          .add("error", result.error)
                          .text());
}

void PlatformClient::logOutcome(const duties::ScaleCall& call, duties::ScaleOutcome outcome,
                                const CallResult& result) {
  m_node.metrics().count(telemetry::CounterId::kScaleCalls, duties::toString(outcome));
  telemetry::logEvent(outcome == duties::ScaleOutcome::kAccepted
                          ? telemetry::EventId::kCapacityAsked
                          : telemetry::EventId::kCapacityCallFailed,
                      telemetry::EventFields()
                          .add("service", call.subject.service)
                          .add("zone", call.subject.zone)
                          .add("kind", duties::toString(call.subject.kind))
                          .add("count", call.count)
                          .add("fence", call.fence)
                          .add("outcome", duties::toString(outcome))
                          .add("status", static_cast<std::uint64_t>(result.status))
                          .add("error", result.error)
                          .text());
}

}  // namespace tackpick::node
