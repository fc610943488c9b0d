#include "jobs/pace_book.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// An engine that starts again is back by then.
constexpr base::Duration kRemembered = base::seconds(120);

double median(std::vector<double>& paces) {
  if (paces.empty()) {
    return 0;
  }
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

}  // namespace

PaceBook::Entry& PaceBook::attach(const std::string& machine, const std::string& zone) {
  Entry& entry = m_entries[machine];
  entry.zone = zone;
  ++entry.engines;
  return entry;
}

void PaceBook::detach(const std::string& machine, base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end() || found->second.engines == 0) {
    return;
  }
  --found->second.engines;
  found->second.unusedSince = now;
}

bool PaceBook::note(const std::string& machine, const PaceReport& report, base::TimePoint now) {
  const auto found = m_entries.find(machine);
  if (found == m_entries.end()) {
    return false;
  }
  Entry& entry = found->second;
  return entry.pace.note(report, typicalOfZone(entry.zone), now);
}

void PaceBook::refresh(base::TimePoint now) {
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
  for (auto& [zone, paces] : byZone) {
    m_typicalByZone.emplace(zone, median(paces));
  }
  m_typicalMs = median(all);
}

double PaceBook::expectedMs(const Entry& entry, base::TimePoint now) const {
  const double ofZone = typicalOfZone(entry.zone);
  return entry.pace.expectedMs(ofZone > 0 ? ofZone : m_typicalMs, now);
}

double PaceBook::typicalOfZone(const std::string& zone) const {
  const auto found = m_typicalByZone.find(zone);
  return found == m_typicalByZone.end() ? 0 : found->second;
}

}  // namespace tackpick::jobs
