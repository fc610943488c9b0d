#include "jobs/event_interval_table.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// Time for which a machine without engines is retained; a restarting engine returns sooner.
constexpr base::Duration kRetention = base::seconds(120);

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

EventIntervalTable::Entry& EventIntervalTable::addEngine(const std::string& machine,
                                                         const std::string& zone) {
  Entry& entry = m_entries[machine];
  entry.zone = zone;
  ++entry.engines;
  return entry;
}

void EventIntervalTable::removeEngine(const std::string& machine, base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end() || found->second.engines == 0) {
    return;
  }
  --found->second.engines;
  found->second.idleSince = now;
}

bool EventIntervalTable::addSample(const std::string& machine, const EventIntervalReport& report,
                                   base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  return entry.eventInterval.addSample(report, zoneMedianMs(entry.zone), now);
}

void EventIntervalTable::refresh(base::TimePoint now) {
  std::erase_if(m_entries, [&](const auto& known) {
    return known.second.engines == 0 && now - known.second.idleSince > kRetention;
  });
  std::map<std::string, std::vector<double>> byZone;
  std::vector<double> all;
  for (const auto& [machine, entry] : m_entries) {
    if (entry.eventInterval.isKnown()) {
      byZone[entry.zone].push_back(entry.eventInterval.longTermMs());
      all.push_back(entry.eventInterval.longTermMs());
    }
  }
  m_medianByZone.clear();
  for (auto& [zone, eventIntervals] : byZone) {
    m_medianByZone.emplace(zone, median(eventIntervals));
  }
  m_medianMs = median(all);
}

double EventIntervalTable::expectedMs(const Entry& entry, base::TimePoint now) const {
  const double zoneMedian = zoneMedianMs(entry.zone);
  return entry.eventInterval.expectedMs(zoneMedian > 0 ? zoneMedian : m_medianMs, now);
}

double EventIntervalTable::zoneMedianMs(const std::string& zone) const {
  const auto found = m_medianByZone.find(zone);
  return found == m_medianByZone.end() ? 0 : found->second;
}

}  // namespace tackpick::jobs
