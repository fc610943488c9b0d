/// \file
/// Limits the number of engines that load weights at once.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// Settings of LoadLimiter.
struct LoadLimiterSettings {
  /// Upper bound of the limit as a multiple of the configured minimum.
  std::size_t maxLimitFactor = 3;
  /// Relative increase of the mean load time above the baseline that indicates a saturated weights
  /// store. Larger than the variation of report times.
  double tolerance = 0.1;
  /// Time after saturation before the limit is raised again.
  base::Duration probeInterval = base::seconds(30);
};

/// Adapts the number of concurrent loads to the weights store: raises the limit by one while loads
/// do not slow down and lowers it by one when they do. Deterministic; owned by one thread.
class LoadLimiter {
 public:
  explicit LoadLimiter(LoadLimiterSettings settings) : m_settings(settings) {}

  void reset();
  /// Sets the lower bound of the limit.
  void setMinLimit(std::size_t minLimit);
  [[nodiscard]] std::size_t limit() const { return m_limit; }
  /// Returns the smoothed load time; std::nullopt before the first load.
  [[nodiscard]] std::optional<base::Duration> loadTime() const { return m_loadTime; }

  /// Call when an engine starts to load; `running` counts all loads including this one.
  void onStarted(const std::string& instance, std::size_t running, base::TimePoint now);
  /// Call when the engine has loaded.
  void onLoaded(const std::string& instance, base::TimePoint now);
  /// Call when the load ended without a usable load time.
  void onAbandoned(const std::string& instance) { m_started.erase(instance); }

 private:
  struct StartedLoad {
    base::TimePoint at{};
    bool atLimit = false;  ///< the number of loads was at the limit
  };

  /// Adjusts the limit to the mean time of the last loads that ran at the limit.
  void adjustLimit(base::Duration mean, base::TimePoint now);

  const LoadLimiterSettings m_settings;
  std::size_t m_minLimit = 1;
  std::size_t m_limit = 1;
  std::map<std::string, StartedLoad> m_started;  ///< by instance
  std::size_t m_samples = 0;
  base::Duration m_sum{0};
  std::optional<base::Duration> m_baselineLoadTime;  ///< lowest mean, raised on saturation
  std::optional<base::Duration> m_loadTime;
  std::optional<base::TimePoint> m_saturatedAt;
};

}  // namespace tackpick::directory
