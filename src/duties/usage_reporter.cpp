#include "duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace tackpick::duties {

std::string_view toString(UsageReportOutcome outcome) {
  switch (outcome) {
    case UsageReportOutcome::kAccepted:
      return "taken";
    case UsageReportOutcome::kStaleFence:
      return "refused";
    case UsageReportOutcome::kThrottled:
      return "busy";
    case UsageReportOutcome::kUnknown:
      return "uncertain";
  }
  return "unknown";
}

void UsageReporter::reset(const UsageState& state, base::TimePoint callsFrom) {
  m_usageByWindow = state.recorded();
  m_currentWindows.clear();
  m_unrecorded.clear();
  m_proposedWindow.reset();
  m_acceptedWindows.clear();
  m_pendingConfirmation.reset();
  m_callInFlight = false;
  m_nextCallAt = callsFrom;
  m_retryDelay = {};
}

void UsageReporter::onGatewayUsage(base::NodeId gateway, const GatewayUsage& usage) {
  WindowNumber& currentWindow = m_currentWindows[gateway];
  currentWindow = std::max(currentWindow, usage.currentWindow);
  for (const WindowUsage& windowUsage : usage.windows) {
    WindowUsage& knownUsage = m_usageByWindow[windowUsage.window][gateway];
    const WindowUsage before = knownUsage;
    mergeUsage(knownUsage, windowUsage);
    if (knownUsage != before) {
      m_unrecorded.insert(gateway);
    }
  }
}

bool UsageReporter::isComplete(WindowNumber window, const StepInputs& stepInputs) const {
  const auto hasLeftWindow = [&](base::NodeId gateway) {
    const auto at = m_currentWindows.find(gateway);
    return at != m_currentWindows.end() && at->second > window;
  };
  return stepInputs.warmedUp &&
         std::all_of(stepInputs.gateways.begin(), stepInputs.gateways.end(), hasLeftWindow);
}

std::optional<FinalizeUsage> UsageReporter::finalizeWindow(const UsageState& state,
                                                           const StepInputs& stepInputs) const {
  const WindowNumber window = *state.nextWindow();
  constexpr int kHundredPercent = 100;
  const base::WallTime end = windowEnd(window, m_settings.windowLength);
  const bool deadlinePassed =
      stepInputs.wall >= end + m_settings.reportDelay * m_settings.maxWaitPercent / kHundredPercent;
  const bool graceElapsed = stepInputs.wall >= end + m_settings.gracePeriod;
  if (!deadlinePassed && !(graceElapsed && isComplete(window, stepInputs))) {
    return std::nullopt;
  }
  FinalizeUsage finalized;
  finalized.usage.window = window;
  const auto found = m_usageByWindow.find(window);
  if (found == m_usageByWindow.end()) {
    return finalized;
  }
  for (const auto& [gateway, usage] : found->second) {
    for (const auto& [tenant, count] : usage.counts) {
      finalized.usage.counts[tenant] += count;
    }
  }
  return finalized;
}

void UsageReporter::recordUsage(const UsageState& state, const StepInputs& stepInputs,
                                UsageReporterActions& actions) {
  std::size_t counts = 0;
  for (const auto& [window, gateways] : m_usageByWindow) {
    for (const auto& [gateway, usage] : gateways) {
      counts += usage.counts.size();
    }
  }
  const base::Duration interval =
      std::max(m_settings.recordInterval,
               m_settings.recordIntervalPerCount * static_cast<base::Duration::rep>(counts));
  if (m_unrecorded.empty() || stepInputs.now - m_recordedAt < interval) {
    return;
  }
  m_recordedAt = stepInputs.now;
  for (const base::NodeId gateway : std::exchange(m_unrecorded, {})) {
    RecordUsage record{gateway, {}};
    for (const auto& [window, gateways] : m_usageByWindow) {
      const auto usage = gateways.find(gateway);
      if (window >= *state.nextWindow() && usage != gateways.end()) {
        record.windows.push_back(usage->second);
      }
    }
    if (!record.windows.empty()) {
      actions.commands.emplace_back(std::move(record));
    }
  }
}

std::optional<UsageReport> UsageReporter::nextReport(const UsageState& state,
                                                     const StepInputs& stepInputs) {
  if (m_callInFlight || stepInputs.now < m_nextCallAt || stepInputs.fence == m_staleFence) {
    return std::nullopt;
  }
  for (const auto& [window, usage] : state.unreported()) {
    if (!m_acceptedWindows.contains(window)) {
      m_callInFlight = true;
      return UsageReport{usage, stepInputs.fence};
    }
  }
  return std::nullopt;
}

UsageReporterActions UsageReporter::step(const UsageState& state, const StepInputs& stepInputs) {
  UsageReporterActions actions;
  if (m_settings.windowLength == base::Duration{0}) {
    return actions;
  }
  if (!state.nextWindow()) {
    actions.commands.emplace_back(
        StartUsageReporting{windowOf(stepInputs.wall, m_settings.windowLength)});
    return actions;
  }
  m_usageByWindow.erase(m_usageByWindow.begin(), m_usageByWindow.lower_bound(*state.nextWindow()));
  recordUsage(state, stepInputs, actions);
  if (m_proposedWindow && *m_proposedWindow < *state.nextWindow()) {
    m_proposedWindow.reset();
  }
  if (!m_proposedWindow) {
    if (auto finalized = finalizeWindow(state, stepInputs)) {
      m_proposedWindow = finalized->usage.window;
      actions.commands.emplace_back(std::move(*finalized));
    }
  }
  if (m_pendingConfirmation) {
    actions.commands.emplace_back(
        ConfirmUsage{*std::exchange(m_pendingConfirmation, std::nullopt)});
  }
  actions.report = nextReport(state, stepInputs);
  return actions;
}

void UsageReporter::onOutcome(const UsageReport& report, UsageReportOutcome outcome,
                              base::TimePoint now) {
  m_callInFlight = false;
  m_nextCallAt = now + m_settings.minCallInterval;
  if (outcome == UsageReportOutcome::kAccepted) {
    m_retryDelay = {};
    m_acceptedWindows.insert(report.usage.window);
    m_pendingConfirmation = report.usage.window;
    return;
  }
  if (outcome == UsageReportOutcome::kStaleFence) {
    m_staleFence = report.fence;
    return;
  }
  m_retryDelay =
      std::clamp(m_retryDelay * 2, m_settings.initialRetryDelay, m_settings.maxRetryDelay);
  // Random jitter of up to half of the delay keeps callers from synchronizing.
  const auto half = m_retryDelay.count() / 2;
  m_nextCallAt = now + base::Duration(half + static_cast<base::Duration::rep>(m_random.below(
                                                 static_cast<std::uint64_t>(half) + 1)));
}

}  // namespace tackpick::duties
