/// \file
/// What is known of the pace of one engine.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "jobs/event_interval_report.h"

namespace tackpick::jobs {

/// Deterministic. Two averages: a recent one, which follows a change within a few reports, and one
/// over the long run. Without new reports the expected pace returns from the recent average to the
/// long run, and over minutes to what is typical of the engine's zone: evidence of slowness is not
/// renewed where nothing runs, so an engine that has recovered must come to be tried again.
///
/// Averages are of logarithms: event intervals are compared as ratios, and one wrong report out of
/// many moves them little.
class EngineEventInterval {
 public:
  /// A report that cannot be true changes nothing and gives false. Of two gateways that contradict
  /// each other the one with the later sample counts; samples of about the same time are averaged.
  /// `typicalMs`: of the engine's zone; zero: unknown.
  bool note(const EventIntervalReport& report, double typicalMs, base::TimePoint now);
  /// Milliseconds between two events as expected from now on; zero: unknown. `typicalMs`: of the
  /// engine's zone, or of all engines.
  [[nodiscard]] double expectedMs(double typicalMs, base::TimePoint now) const;
  /// What a run that starts now loses by the engine's slowness of this moment.
  [[nodiscard]] base::Duration momentaryDelay(base::TimePoint now) const;
  /// In percent of what is usual; 100 where the engine has not just said otherwise.
  [[nodiscard]] std::uint32_t slowdownPercent(base::TimePoint now) const;
  /// Over its whole time; while only one old sample is known, that. Zero: unknown.
  [[nodiscard]] double longRunMs() const { return m_longRunMs > 0 ? m_longRunMs : m_recentMs; }
  [[nodiscard]] bool isKnown() const { return m_recentMs > 0; }
  /// Since the last sample; nothing before the first.
  [[nodiscard]] std::optional<base::Duration> age(base::TimePoint now) const;

 private:
  void recordSlowdown(const EventIntervalReport& report, base::TimePoint now);
  void learnLongRun(double eventIntervalMs, base::TimePoint now);

  double m_recentMs = 0;
  double m_longRunMs = 0;  ///< zero: learnt from no sample yet
  base::TimePoint m_sampledAt{};
  base::TimePoint m_learntAt{};  ///< when the long run last took in a sample
  std::uint32_t m_slowdownPercent = 100;
  std::optional<base::TimePoint> m_slowdownAt;
};

}  // namespace tackpick::jobs
