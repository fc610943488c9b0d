/// \file
/// The observed event interval of one engine.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "jobs/event_interval_report.h"

namespace tackpick::jobs {

/// Estimates the event interval of one engine from a recent average, which follows a change within
/// a few reports, and a long-term average. Without new reports the expected interval returns from
/// the recent average to the long-term one, and over minutes to the median of the engine's zone: an
/// engine without items produces no samples, so a recovered engine must be tried again.
/// Deterministic.
///
/// The averages are geometric: intervals are compared as ratios, and a single outlier has little
/// effect.
class EngineEventInterval {
 public:
  /// Adds a report. Returns false and changes nothing if its values are implausible. If two
  /// gateways contradict each other, the later sample counts; samples of about the same time are
  /// averaged. `medianMs`: median interval of the engine's zone; zero: unknown.
  bool addSample(const EventIntervalReport& report, double medianMs, base::TimePoint now);
  /// Returns the expected event interval in milliseconds; zero: unknown. `medianMs`: median of the
  /// engine's zone, or of all engines.
  [[nodiscard]] double expectedMs(double medianMs, base::TimePoint now) const;
  /// Returns the expected delay of a run that starts now, caused by a transient slowdown of the
  /// engine.
  [[nodiscard]] base::Duration transientDelay(base::TimePoint now) const;
  /// Returns the slowdown in percent of normal; 100 unless the engine reported one recently.
  [[nodiscard]] std::uint32_t slowdownPercent(base::TimePoint now) const;
  /// Returns the long-term average in milliseconds, or the recent one if there is none yet. Zero:
  /// unknown.
  [[nodiscard]] double longTermMs() const { return m_longTermMs > 0 ? m_longTermMs : m_recentMs; }
  [[nodiscard]] bool isKnown() const { return m_recentMs > 0; }
  /// Returns the time since the last sample; std::nullopt before the first.
  [[nodiscard]] std::optional<base::Duration> age(base::TimePoint now) const;

 private:
  void recordSlowdown(const EventIntervalReport& report, base::TimePoint now);
  void updateLongTerm(double eventIntervalMs, base::TimePoint now);

  double m_recentMs = 0;
  double m_longTermMs = 0;  ///< zero: no sample yet
  base::TimePoint m_sampledAt{};
  base::TimePoint m_longTermUpdatedAt{};  ///< time of the last sample in the long-term average
  std::uint32_t m_slowdownPercent = 100;
  std::optional<base::TimePoint> m_slowdownAt;
};

}  // namespace tackpick::jobs
