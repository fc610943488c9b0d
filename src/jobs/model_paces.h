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
class ModelPaces {
 public:
  /// An engine that runs an item of `model` makes an event each `paceMs` milliseconds.
  void note(const std::string& model, double paceMs) {
    if (!(paceMs > 0) || !std::isfinite(paceMs)) {
      return;
    }
    const auto [known, added] = m_paces.try_emplace(model, paceMs);
    known->second += kWeight * (paceMs - known->second);
    m_anyPace += m_anyPace > 0 ? kWeight * (paceMs - m_anyPace) : paceMs;
  }
  /// Time that an engine takes for `events` of a text.
  [[nodiscard]] base::Duration timeFor(const std::string& model, double events) const {
    return timeAt(paceOf(model), events);
  }
  /// Events that an engine makes in `time`.
  [[nodiscard]] double eventsIn(const std::string& model, base::Duration time) const {
    return static_cast<double>(time.count()) / kMicrosPerMilli / paceOf(model);
  }
  /// Milliseconds between two events. Of a model that has not run yet: as of the others.
  [[nodiscard]] double paceOf(const std::string& model) const {
    const auto known = m_paces.find(model);
    if (known != m_paces.end()) {
      return known->second;
    }
    return m_anyPace > 0 ? m_anyPace : kDefaultPaceMs;
  }
  [[nodiscard]] static base::Duration timeAt(double paceMs, double events) {
    constexpr base::Duration kLongest = std::chrono::hours(24);  // fits a sum with any due time
    const double micros = events * paceMs * kMicrosPerMilli;
    const bool fits = micros < static_cast<double>(kLongest.count());
    return fits ? base::Duration(static_cast<base::Duration::rep>(micros)) : kLongest;
  }

 private:
  static constexpr double kMicrosPerMilli = 1000.0;
  static constexpr double kWeight = 0.05;
  /// Of an engine that makes some thirty events a second, as language models do.
  static constexpr double kDefaultPaceMs = 30.0;

  std::map<std::string, double> m_paces;
  double m_anyPace = 0;
};

}  // namespace tackpick::jobs
