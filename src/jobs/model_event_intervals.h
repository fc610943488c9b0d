/// \file
/// Average event intervals by model.
#pragma once

#include <chrono>
#include <cmath>
#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::jobs {

/// Moving averages of the event interval over the engines that run a model's items. Deterministic.
class ModelEventIntervals {
 public:
  /// Adds the event interval of an engine that runs an item of `model`, in milliseconds.
  /// Implausible values are ignored.
  void addSample(const std::string& model, double eventIntervalMs) {
    if (!(eventIntervalMs > 0) || !std::isfinite(eventIntervalMs)) {
      return;
    }
    const auto [known, added] = m_eventIntervals.try_emplace(model, eventIntervalMs);
    known->second += kWeight * (eventIntervalMs - known->second);
    m_overallIntervalMs += m_overallIntervalMs > 0
                               ? kWeight * (eventIntervalMs - m_overallIntervalMs)
                               : eventIntervalMs;
  }
  /// Returns the time that an engine needs for `events` of a text.
  [[nodiscard]] base::Duration timeFor(const std::string& model, double events) const {
    return timeAt(eventIntervalOf(model), events);
  }
  /// Returns the number of events that an engine generates in `time`.
  [[nodiscard]] double eventsIn(const std::string& model, base::Duration time) const {
    return static_cast<double>(time.count()) / kMicrosPerMilli / eventIntervalOf(model);
  }
  /// Returns the event interval in milliseconds; for a model without samples the average of all
  /// models.
  [[nodiscard]] double eventIntervalOf(const std::string& model) const {
    const auto known = m_eventIntervals.find(model);
    if (known != m_eventIntervals.end()) {
      return known->second;
    }
    return m_overallIntervalMs > 0 ? m_overallIntervalMs : kDefaultEventIntervalMs;
  }
  [[nodiscard]] static base::Duration timeAt(double eventIntervalMs, double events) {
    // avoids overflow in sums with due times
    constexpr base::Duration kMaxDuration = std::chrono::hours(24);
    const double micros = events * eventIntervalMs * kMicrosPerMilli;
    const bool fits = micros < static_cast<double>(kMaxDuration.count());
    return fits ? base::Duration(static_cast<base::Duration::rep>(micros)) : kMaxDuration;
  }

 private:
  static constexpr double kMicrosPerMilli = 1000.0;
  static constexpr double kWeight = 0.05;
  /// Event interval before the first sample.
  static constexpr double kDefaultEventIntervalMs = 30.0;

  std::map<std::string, double> m_eventIntervals;
  double m_overallIntervalMs = 0;
};

}  // namespace tackpick::jobs
