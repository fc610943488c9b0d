/// \file
/// Temporary ejection of failing and stalled engines.
#pragma once

#include <cstdint>
#include <map>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::routing {

/// Settings of OutlierDetector.
struct OutlierSettings {
  std::uint32_t consecutiveFailures = 3;
  base::Duration baseEjectionTime = base::seconds(1);
  base::Duration maxEjection = base::seconds(30);
  /// Time after an ejection within which a further failure doubles the ejection time.
  base::Duration ejectionResetInterval = base::seconds(10);
};

/// Ejects an engine after consecutive failures, with exponential backoff. After an ejection the
/// engine is half open: it gets one request at a time until one succeeds.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierSettings settings) : settings_(settings) {}

  void onSuccess(base::EngineId engine);
  void onFailure(base::EngineId engine, base::TimePoint now);
  void remove(base::EngineId engine) { m_engines.erase(engine); }
  [[nodiscard]] bool isEjected(base::EngineId engine, base::TimePoint now) const;
  /// Whether the engine was ejected and no request has succeeded since.
  [[nodiscard]] bool isHalfOpen(base::EngineId engine) const;
  [[nodiscard]] std::size_t ejectedCount(base::TimePoint now) const;

 private:
  struct EngineHealth {
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;  ///< exponent of the backoff
    base::TimePoint ejectedUntil{};
    bool halfOpen = false;
  };

  const OutlierSettings settings_;
  std::map<base::EngineId, EngineHealth> m_engines;
};

}  // namespace tackpick::routing
