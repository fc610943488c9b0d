#include "jobs/engine_event_interval.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

/// Reported intervals outside these bounds are rejected as errors.
constexpr double kMinEventIntervalMs = 0.001;
constexpr double kMaxEventIntervalMs = 60'000;
/// Weight of a new report in the recent average.
constexpr double kRecentWeight = 0.3;
/// Reports older than this are rejected.
constexpr base::Duration kMaxReportAge = base::seconds(3600);
/// Samples that are at most this far apart count as simultaneous; gateways report twice a second.
constexpr base::Duration kConcurrentWindow = base::milliseconds(500);
/// Time constant of the long-term average; slowdowns of a few seconds hardly change it.
constexpr base::Duration kLongTermWindow = base::seconds(20);
/// Maximum time step that one sample contributes to the long-term average.
constexpr base::Duration kMaxStep = base::seconds(1);
/// Age up to which a sample is not discounted.
constexpr base::Duration kFreshAge = base::seconds(1);
/// Half-life of the recent average's weight beyond kFreshAge.
constexpr base::Duration kRecentHalfLife = base::seconds(2);
/// Half-life of the long-term average's weight against the median of the zone.
constexpr base::Duration kLongTermHalfLife = base::seconds(60);
/// Time for which a slowdown reported by the engine is valid.
constexpr base::Duration kTransientWindow = base::milliseconds(500);
constexpr std::uint32_t kNormalPercent = 100;
/// Maximum slowdown; larger reported values are clamped.
constexpr std::uint32_t kMaxPercent = 10'000;

bool isPlausible(double eventIntervalMs) {
  return std::isfinite(eventIntervalMs) && eventIntervalMs >= kMinEventIntervalMs &&
         eventIntervalMs <= kMaxEventIntervalMs;
}

/// Interpolates geometrically between `from` (`share` 0) and `to` (`share` 1).
double interpolate(double from, double to, double share) {
  return from * std::pow(to / from, share);
}

double seconds(base::Duration duration) { return base::toSeconds(duration); }

/// Returns the remaining weight of a sample of the given age.
double decayFactor(base::Duration age, base::Duration halfLife) {
  return age <= base::Duration{0} ? 1.0 : std::exp2(-seconds(age) / seconds(halfLife));
}

}  // namespace

bool EngineEventInterval::addSample(const EventIntervalReport& report, double medianMs,
                                    base::TimePoint now) {
  if (!isPlausible(report.eventIntervalMs) || report.age < base::Duration{0} ||
      report.age > kMaxReportAge) {
    return false;
  }
  recordSlowdown(report, now);
  const base::TimePoint sampledAt = now - report.age;
  const bool fresh = report.age <= kFreshAge;
  if (!isKnown()) {
    m_recentMs = report.eventIntervalMs;
    m_longTermMs = medianMs > 0 || !fresh ? medianMs : report.eventIntervalMs;
    m_sampledAt = sampledAt;
    m_longTermUpdatedAt = sampledAt;
    return true;
  }
  const bool sameTime = fresh && sampledAt + kConcurrentWindow >= m_sampledAt;
  if (sampledAt <= m_sampledAt && !sameTime) {
    return true;  // a repeated sample, or older than the latest one
  }
  const base::TimePoint latest = std::max(m_sampledAt, sampledAt);
  m_recentMs = interpolate(expectedMs(medianMs, latest), report.eventIntervalMs, kRecentWeight);
  m_sampledAt = latest;
  updateLongTerm(report.eventIntervalMs, m_sampledAt);
  return true;
}

void EngineEventInterval::updateLongTerm(double eventIntervalMs, base::TimePoint now) {
  const base::Duration step = std::min(now - m_longTermUpdatedAt, kMaxStep);
  if (step <= base::Duration{0}) {
    return;
  }
  m_longTermUpdatedAt = now;
  if (m_longTermMs <= 0) {
    m_longTermMs = eventIntervalMs;
    return;
  }
  m_longTermMs = interpolate(m_longTermMs, eventIntervalMs,
                             1.0 - std::exp(-seconds(step) / seconds(kLongTermWindow)));
}

void EngineEventInterval::recordSlowdown(const EventIntervalReport& report, base::TimePoint now) {
  const base::TimePoint reportedAt = now - std::max(report.slowdownAge, base::Duration{0});
  if (now - reportedAt >= kTransientWindow || (m_slowdownAt && reportedAt < *m_slowdownAt)) {
    return;
  }
  m_slowdownAt = reportedAt;
  m_slowdownPercent = std::clamp(report.slowdownPercent, kNormalPercent, kMaxPercent);
}

double EngineEventInterval::expectedMs(double medianMs, base::TimePoint now) const {
  if (!isKnown()) {
    return medianMs;
  }
  const base::Duration age = now - m_sampledAt;
  if (age <= kFreshAge) {
    return m_recentMs;
  }
  double longTerm = longTermMs();
  if (medianMs > 0) {
    longTerm = m_longTermMs > 0
                   ? interpolate(medianMs, longTerm, decayFactor(age, kLongTermHalfLife))
                   : medianMs;
  }
  return interpolate(longTerm, m_recentMs, decayFactor(age - kFreshAge, kRecentHalfLife));
}

base::Duration EngineEventInterval::transientDelay(base::TimePoint now) const {
  const std::uint32_t percent = slowdownPercent(now);
  return kTransientWindow * (percent - kNormalPercent) / percent;
}

std::uint32_t EngineEventInterval::slowdownPercent(base::TimePoint now) const {
  return m_slowdownAt && now - *m_slowdownAt < kTransientWindow ? m_slowdownPercent
                                                                : kNormalPercent;
}

std::optional<base::Duration> EngineEventInterval::age(base::TimePoint now) const {
  return isKnown() ? std::optional(now - m_sampledAt) : std::nullopt;
}

}  // namespace tackpick::jobs
