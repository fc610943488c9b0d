#include "node/duty_caller.h"

#include <numeric>
#include <utility>

#include "base/timer.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

/// A call without an answer is broken off after this; it may still be carried out.
constexpr base::Duration kCallDeadline = base::milliseconds(1500);

std::uint64_t totalOf(const duties::WindowUsage& usage) {
  return std::accumulate(usage.counts.begin(), usage.counts.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

/// One call on its way.
struct DutyCaller::Call {
  Call(asio::io_context& context, duties::UsageReport sent, Callback done)
      : report(std::move(sent)), callback(std::move(done)), deadline(context) {}

  duties::UsageReport report;
  Callback callback;
  base::Timer deadline;
  http::ExchangeId exchange;
  int status = 0;
};

void DutyCaller::send(const duties::UsageReport& report, Callback callback) {
  auto call = std::make_shared<Call>(m_node.context(), report, std::move(callback));
  http::UpstreamRequest request = m_node.dialect().usageRequest(report, m_node.settings().name);
  const transport::Endpoint& platform = m_node.settings().dutyPlatform;
  request.address = {platform.host, platform.port};
  request.headers.set("Host", platform.host);
  http::UpstreamEvents events;
  events.onHead = [call](int status, const http::HeaderList&) { call->status = status; };
  events.onEnd = [this, call](const http::UpstreamEnd& end) {
    call->deadline.cancel();
    onEnd(call, end.complete, end.error);
  };
  call->exchange = m_node.upstream().start(std::move(request), std::move(events));
  call->deadline.expires_after(kCallDeadline);
  call->deadline.async_wait([this, call](const asio::error_code& error) {
    if (!error) {
      m_node.upstream().cancel(call->exchange);
      onEnd(call, false, "no answer in time");
    }
  });
}

void DutyCaller::onEnd(const std::shared_ptr<Call>& call, bool complete, const std::string& error) {
  const Callback callback = std::exchange(call->callback, nullptr);
  if (!callback) {
    return;  // the answer and the deadline came in one turn
  }
  const duties::DutyOutcome outcome =
      complete ? m_node.dialect().dutyOutcome(call->status) : duties::DutyOutcome::kUncertain;
  m_node.metrics().count(telemetry::CounterId::kDutyCalls, duties::toString(outcome));
  telemetry::logEvent(outcome == duties::DutyOutcome::kTaken
                          ? telemetry::EventId::kUsageReported
                          : telemetry::EventId::kUsageReportFailed,
                      telemetry::Detail()
                          .add("window", call->report.usage.window)
                          .add("total", totalOf(call->report.usage))
                          .add("fence", call->report.fence)
                          .add("outcome", duties::toString(outcome))
                          .add("status", static_cast<std::uint64_t>(call->status))
                          .add("error", error)
                          .text());
  callback(outcome);
}

}  // namespace tackpick::node
