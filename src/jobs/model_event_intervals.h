/// \file
/// How fast texts of each model are made.
#pragma once

#include <chrono>
#include <cmath>
#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::jobs {

/// Moving averages of the time between two events, over the engines that run a model's items.
/// Deterministic.
class ModelEventIntervals {
 public:
  /// An engine that runs an item of `model` makes an event each `eventIntervalMs` milliseconds.
  void note(const std::string& model, double eventIntervalMs) {
    if (!(eventIntervalMs > 0) || !std::isfinite(eventIntervalMs)) {
      return;
    }
    const auto [known, added] = m_eventIntervals.try_emplace(model, eventIntervalMs);
    known->second += kWeight * (eventIntervalMs - known->second);
    m_overallIntervalMs += m_overallIntervalMs > 0
                               ? kWeight * (eventIntervalMs - m_overallIntervalMs)
                               : eventIntervalMs;
  }
  /// Time that an engine takes for `events` of a text.
  [[nodiscard]] base::Duration timeFor(const std::string& model, double events) const {
    return timeAt(eventIntervalOf(model), events);
  }
  /// Events that an engine makes in `time`.
  [[nodiscard]] double eventsIn(const std::string& model, base::Duration time) const {
    return static_cast<double>(time.count()) / kMicrosPerMilli / eventIntervalOf(model);
  }
  /// Milliseconds between two events. Of a model that has not run yet: as of the others.
  [[nodiscard]] double eventIntervalOf(const std::string& model) const {
    const auto known = m_eventIntervals.find(model);
    if (known != m_eventIntervals.end()) {
      return known->second;
    }
    return m_overallIntervalMs > 0 ? m_overallIntervalMs : kDefaultEventIntervalMs;
  }
  [[nodiscard]] static base::Duration timeAt(double eventIntervalMs, double events) {
    constexpr base::Duration kLongest = std::chrono::hours(24);  // fits a sum with any due time
    const double micros = events * eventIntervalMs * kMicrosPerMilli;
    const bool fits = micros < static_cast<double>(kLongest.count());
    return fits ? base::Duration(static_cast<base::Duration::rep>(micros)) : kLongest;
  }

 private:
  static constexpr double kMicrosPerMilli = 1000.0;
  static constexpr double kWeight = 0.05;
  /// Of an engine that makes some thirty events a second, as language models do.
  static constexpr double kDefaultEventIntervalMs = 30.0;

  std::map<std::string, double> m_eventIntervals;
  double m_overallIntervalMs = 0;
};

}  // namespace tackpick::jobs
