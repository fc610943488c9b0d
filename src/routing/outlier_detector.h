/// \file
/// Takes failing and stalled engines out of service for a while.
#pragma once

#include <cstdint>
#include <map>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::routing {

/// Knobs of OutlierDetector.
struct OutlierSettings {
  std::uint32_t consecutiveFailures = 3;
  base::Duration firstEjection = base::seconds(1);
  base::Duration maxEjection = base::seconds(30);
  /// An engine that fails again within this time after its return stays out longer.
  base::Duration probation = base::seconds(10);
};

/// Consecutive failures eject an engine; each ejection in a row doubles its length. After its
/// return an engine gets one request at a time until one succeeds.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierSettings settings) : settings_(settings) {}

  void onSuccess(base::EngineId engine);
  void onFailure(base::EngineId engine, base::TimePoint now);
  void forget(base::EngineId engine) { records_.erase(engine); }
  [[nodiscard]] bool isEjected(base::EngineId engine, base::TimePoint now) const;
  /// True after an ejection, until a request succeeds.
  [[nodiscard]] bool onProbation(base::EngineId engine) const;
  [[nodiscard]] std::size_t ejectedCount(base::TimePoint now) const;

 private:
  struct Record {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    base::TimePoint ejectedUntil{};
    bool probation = false;
  };

  const OutlierSettings settings_;
  std::map<base::EngineId, Record> records_;
};

}  // namespace tackpick::routing
