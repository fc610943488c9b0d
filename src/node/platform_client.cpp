#include "node/platform_client.h"

#include <numeric>
#include <utility>

#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

std::uint64_t totalCount(const duties::WindowUsage& usage) {
  return std::accumulate(usage.counts.begin(), usage.counts.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

void PlatformClient::send(const duties::UsageReport& report, Callback callback) {
  start(m_node.apiAdapter().usageRequest(report, m_node.settings().name), report.fence,
        [this, report, callback = std::move(callback)](const LeaderCallResult& result) {
          const duties::UsageReportOutcome outcome =
              result.complete ? m_node.apiAdapter().usageReportOutcome(result.status)
                              : duties::UsageReportOutcome::kUnknown;
          logOutcome(report, outcome, result);
          callback(outcome);
        });
}

void PlatformClient::send(const duties::ScaleCall& call, ScaleCallback callback) {
  start(m_node.apiAdapter().scaleRequest(call, m_node.settings().name), call.fence,
        [this, call, callback = std::move(callback)](const LeaderCallResult& result) {
          const duties::ScaleOutcome outcome =
              result.complete ? m_node.apiAdapter().scaleOutcome(call, result.status)
                              : duties::ScaleOutcome::kUnknown;
          logOutcome(call, outcome, result);
          callback(outcome);
        });
}

void PlatformClient::start(http::UpstreamRequest request, consensus::Term term,
                           LeaderCalls::Callback callback) {
  const transport::Endpoint& platform = m_node.settings().platformEndpoint;
  request.address = {platform.host, platform.port};
  request.headers.set("Host", platform.host);
  m_node.leaderCalls().start(std::move(request), term, std::move(callback));
}

void PlatformClient::logOutcome(const duties::UsageReport& report,
                                duties::UsageReportOutcome outcome,
                                const LeaderCallResult& result) {
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
                                const LeaderCallResult& result) {
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
