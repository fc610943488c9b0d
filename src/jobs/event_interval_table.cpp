#include "jobs/event_interval_table.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// An engine that starts again is back by then.
constexpr base::Duration kRemembered = base::seconds(120);

double median(std::vector<double>& eventIntervals) {
  if (eventIntervals.empty()) {
    return 0;
  }
  const auto middle =
      eventIntervals.begin() + static_cast<std::ptrdiff_t>(eventIntervals.size() / 2);
  std::nth_element(eventIntervals.begin(), middle, eventIntervals.end());
  return *middle;
}

}  // namespace

EventIntervalTable::Entry& EventIntervalTable::attach(const std::string& machine,
                                                      const std::string& zone) {
  Entry& entry = m_entries[machine];
  entry.zone = zone;
  ++entry.engines;
  return entry;
}

void EventIntervalTable::detach(const std::string& machine, base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end() || found->second.engines == 0) {
    return;
  }
  --found->second.engines;
  found->second.unusedSince = now;
}

bool EventIntervalTable::note(const std::string& machine, const EventIntervalReport& report,
                              base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  return entry.pace.note(report, typicalOfZone(entry.zone), now);
}

void EventIntervalTable::refresh(base::TimePoint now) {
  std::erase_if(m_entries, [&](const auto& known) {
    return known.second.engines == 0 && now - known.second.unusedSince > kRemembered;
  });
  std::map<std::string, std::vector<double>> byZone;
  std::vector<double> all;
  for (const auto& [machine, entry] : m_entries) {
    if (entry.pace.isKnown()) {
      byZone[entry.zone].push_back(entry.pace.longRunMs());
      all.push_back(entry.pace.longRunMs());
    }
  }
  m_typicalByZone.clear();
  for (auto& [zone, eventIntervals] : byZone) {
    m_typicalByZone.emplace(zone, median(eventIntervals));
  }
  m_typicalMs = median(all);
}

double EventIntervalTable::expectedMs(const Entry& entry, base::TimePoint now) const {
  const double ofZone = typicalOfZone(entry.zone);
  return entry.pace.expectedMs(ofZone > 0 ? ofZone : m_typicalMs, now);
}

double EventIntervalTable::typicalOfZone(const std::string& zone) const {
  const auto found = m_typicalByZone.find(zone);
  return found == m_typicalByZone.end() ? 0 : found->second;
}

}  // namespace tackpick::jobs
