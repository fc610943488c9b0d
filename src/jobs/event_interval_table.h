/// \file
/// The event intervals of all engines, as gateways tell them to the ledgers' leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/engine_event_interval.h"

namespace tackpick::jobs {

/// Deterministic. Paces are kept by machine: an engine that loads other weights, or starts again,
/// runs on the same one. A machine without engines is remembered for a while, since engines that
/// start again are away for a moment.
class EventIntervalTable {
 public:
  /// A machine's entry; stays valid until detach().
  struct Entry {
    std::string zone;
    EngineEventInterval pace;
    std::uint32_t engines = 0;  ///< attached
    base::TimePoint unusedSince{};
  };

  /// An engine runs on the machine.
  Entry& attach(const std::string& machine, const std::string& zone);
  /// One that was attached does so no more.
  void detach(const std::string& machine, base::TimePoint now);
  /// False when the machine is unknown or the report cannot be true.
  bool note(const std::string& machine, const EventIntervalReport& report, base::TimePoint now);
  /// Brings what is typical up to date, and forgets machines long gone.
  void refresh(base::TimePoint now);
  /// Expected of that machine; where nothing was ever seen of it, what is typical of its zone, else
  /// of all. Zero while no pace is known at all.
  [[nodiscard]] double expectedMs(const Entry& entry, base::TimePoint now) const;
  /// Median over the long run of all engines; zero: unknown.
  [[nodiscard]] double typicalMs() const { return m_typicalMs; }

 private:
  [[nodiscard]] double typicalOfZone(const std::string& zone) const;

  std::map<std::string, Entry> m_entries;
  std::map<std::string, double> m_typicalByZone;  ///< only zones where a pace is known
  double m_typicalMs = 0;
};

}  // namespace tackpick::jobs
