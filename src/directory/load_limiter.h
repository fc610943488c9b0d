/// \file
/// How many engines may load weights at once.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// Knobs of LoadLimiter.
struct LoadLimiterSettings {
  /// Loads are never more than this many times those that the settings allow.
  std::size_t maxLimitFactor = 3;
  /// Loads that take longer than the shortest by more than this share mean that the store is
  /// saturated. Above what the times of reports vary by.
  double tolerance = 0.1;
  /// After a saturated store, so long until more loads are tried again.
  base::Duration pause = base::seconds(30);
};

/// Learns from the time that loads take how many the store of weights bears: as long as they take
/// no longer, one more is tried; when they do, one fewer. Deterministic; owned by one thread.
class LoadLimiter {
 public:
  explicit LoadLimiter(LoadLimiterSettings settings) : m_settings(settings) {}

  void reset();
  /// What the settings allow now; the budget is never below it.
  void setLeast(std::size_t least);
  [[nodiscard]] std::size_t most() const { return m_most; }
  /// The mean time of a load; nothing before any was seen.
  [[nodiscard]] std::optional<base::Duration> loadTime() const { return m_loadTime; }

  /// An engine was ordered to load; with it `running` load.
  void onBegun(const std::string& instance, std::size_t running, base::TimePoint now);
  /// It has loaded.
  void onLoaded(const std::string& instance, base::TimePoint now);
  /// How long it took says nothing.
  void onAbandoned(const std::string& instance) { m_begun.erase(instance); }

 private:
  struct Begun {
    base::TimePoint at{};
    bool full = false;  ///< as many as the budget allowed were under way
  };

  /// As many loads as the budget allows at once have ended, of which all ran beside each other.
  void judge(base::Duration mean, base::TimePoint now);

  const LoadLimiterSettings m_settings;
  std::size_t m_least = 1;
  std::size_t m_most = 1;
  std::map<std::string, Begun> m_begun;  ///< by instance
  std::size_t m_samples = 0;
  base::Duration m_sum{0};
  std::optional<base::Duration> m_shortest;  ///< mean time at the number where it was shortest
  std::optional<base::Duration> m_loadTime;
  std::optional<base::TimePoint> m_saturatedAt;
};

}  // namespace tackpick::directory
