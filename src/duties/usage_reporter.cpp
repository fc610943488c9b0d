#include "duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace tackpick::duties {

std::string_view toString(UsageReportOutcome outcome) {
  switch (outcome) {
    case UsageReportOutcome::kAccepted:
      return "taken";
    case UsageReportOutcome::kRefused:
      return "refused";
    case UsageReportOutcome::kBusy:
      return "busy";
    case UsageReportOutcome::kUnknown:
      return "uncertain";
  }
  return "unknown";
}

void UsageReporter::reset(const UsageState& state, base::TimePoint callsFrom) {
  m_told = state.noted();
  m_presentAt.clear();
  m_unnoted.clear();
  m_proposed.reset();
  m_taken.clear();
  m_confirm.reset();
  m_calling = false;
  m_callAt = callsFrom;
  m_retry = {};
}

void UsageReporter::onTold(base::NodeId gateway, const GatewayUsage& usage) {
  WindowNumber& presentAt = m_presentAt[gateway];
  presentAt = std::max(presentAt, usage.present);
  for (const WindowUsage& told : usage.windows) {
    WindowUsage& known = m_told[told.window][gateway];
    const WindowUsage before = known;
    mergeUsage(known, told);
    if (known != before) {
      m_unnoted.insert(gateway);
    }
  }
}

bool UsageReporter::isComplete(WindowNumber window, const Present& present) const {
  const auto told = [&](base::NodeId gateway) {
    const auto at = m_presentAt.find(gateway);
    return at != m_presentAt.end() && at->second > window;
  };
  return present.settled && std::all_of(present.gateways.begin(), present.gateways.end(), told);
}

std::optional<FinalizeUsage> UsageReporter::decide(const UsageState& state,
                                                   const Present& present) const {
  const WindowNumber window = *state.next();
  constexpr int kWholePercent = 100;
  const base::WallTime end = endOf(window, m_settings.window);
  const bool late =
      present.wall >= end + m_settings.delay * m_settings.patiencePercent / kWholePercent;
  const bool settled = present.wall >= end + m_settings.settling;
  if (!late && !(settled && isComplete(window, present))) {
    return std::nullopt;
  }
  FinalizeUsage decision;
  decision.usage.window = window;
  const auto told = m_told.find(window);
  if (told == m_told.end()) {
    return decision;
  }
  for (const auto& [gateway, usage] : told->second) {
    for (const auto& [tenant, count] : usage.counts) {
      decision.usage.counts[tenant] += count;
    }
  }
  return decision;
}

void UsageReporter::note(const UsageState& state, const Present& present,
                         UsageReporterActions& work) {
  std::size_t counts = 0;
  for (const auto& [window, gateways] : m_told) {
    for (const auto& [gateway, usage] : gateways) {
      counts += usage.counts.size();
    }
  }
  const base::Duration interval =
      std::max(m_settings.noteInterval,
               m_settings.noteIntervalPerCount * static_cast<base::Duration::rep>(counts));
  if (m_unnoted.empty() || present.now - m_notedAt < interval) {
    return;
  }
  m_notedAt = present.now;
  for (const base::NodeId gateway : std::exchange(m_unnoted, {})) {
    RecordUsage note{gateway, {}};
    for (const auto& [window, gateways] : m_told) {
      const auto usage = gateways.find(gateway);
      if (window >= *state.next() && usage != gateways.end()) {
        note.windows.push_back(usage->second);
      }
    }
    if (!note.windows.empty()) {
      work.commands.emplace_back(std::move(note));
    }
  }
}

std::optional<UsageReport> UsageReporter::nextReport(const UsageState& state,
                                                     const Present& present) {
  if (m_calling || present.now < m_callAt || present.fence == m_refusedFence) {
    return std::nullopt;
  }
  for (const auto& [window, usage] : state.unreported()) {
    if (!m_taken.contains(window)) {
      m_calling = true;
      return UsageReport{usage, present.fence};
    }
  }
  return std::nullopt;
}

UsageReporterActions UsageReporter::step(const UsageState& state, const Present& present) {
  UsageReporterActions work;
  if (m_settings.window == base::Duration{0}) {
    return work;
  }
  if (!state.next()) {
    work.commands.emplace_back(StartUsageReporting{windowOf(present.wall, m_settings.window)});
    return work;
  }
  m_told.erase(m_told.begin(), m_told.lower_bound(*state.next()));
  note(state, present, work);
  if (m_proposed && *m_proposed < *state.next()) {
    m_proposed.reset();
  }
  if (!m_proposed) {
    if (auto decision = decide(state, present)) {
      m_proposed = decision->usage.window;
      work.commands.emplace_back(std::move(*decision));
    }
  }
  if (m_confirm) {
    work.commands.emplace_back(ConfirmUsage{*std::exchange(m_confirm, std::nullopt)});
  }
  work.report = nextReport(state, present);
  return work;
}

void UsageReporter::onOutcome(const UsageReport& report, UsageReportOutcome outcome,
                              base::TimePoint now) {
  m_calling = false;
  m_callAt = now + m_settings.minCallInterval;
  if (outcome == UsageReportOutcome::kAccepted) {
    m_retry = {};
    m_taken.insert(report.usage.window);
    m_confirm = report.usage.window;
    return;
  }
  if (outcome == UsageReportOutcome::kRefused) {
    m_refusedFence = report.fence;
    return;
  }
  m_retry = std::clamp(m_retry * 2, m_settings.firstRetry, m_settings.maxRetry);
  // Half of the pause is drawn, so that calls do not meet others in step.
  const auto half = m_retry.count() / 2;
  m_callAt = now + base::Duration(half + static_cast<base::Duration::rep>(
                                             m_random.below(static_cast<std::uint64_t>(half) + 1)));
}

}  // namespace tackpick::duties
