/// \file
/// Event intervals of all engines, as gateways report them to the ledgers' leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/engine_event_interval.h"

namespace tackpick::jobs {

/// Event intervals by machine: an engine that loads other weights or restarts runs on the same
/// machine. A machine without engines is retained for a while, because restarting engines are
/// briefly absent. Deterministic.
class EventIntervalTable {
 public:
  /// The entry of a machine; valid until removeEngine().
  struct Entry {
    std::string zone;
    EngineEventInterval eventInterval;
    std::uint32_t engines = 0;  ///< number of engines on the machine
    base::TimePoint idleSince{};
  };

  /// Adds an engine to the machine and returns the machine's entry.
  Entry& addEngine(const std::string& machine, const std::string& zone);
  /// Removes an engine from the machine.
  void removeEngine(const std::string& machine, base::TimePoint now);
  /// Adds a report. Returns false if the machine is unknown or the report is implausible.
  bool addSample(const std::string& machine, const EventIntervalReport& report,
                 base::TimePoint now);
  /// Updates the medians and removes machines without engines after the retention time.
  void refresh(base::TimePoint now);
  /// Returns the expected event interval of a machine in milliseconds. Without observations it is
  /// the median of the machine's zone, else of all machines; zero: no interval is known.
  [[nodiscard]] double expectedMs(const Entry& entry, base::TimePoint now) const;
  /// Returns the median of the long-term averages of all engines in milliseconds; zero: unknown.
  [[nodiscard]] double medianMs() const { return m_medianMs; }

 private:
  [[nodiscard]] double zoneMedianMs(const std::string& zone) const;

  std::map<std::string, Entry> m_entries;
  std::map<std::string, double> m_medianByZone;  ///< only zones with a known interval
  double m_medianMs = 0;
};

}  // namespace tackpick::jobs
