#include "jobs/engine_event_interval.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

/// No engine makes events faster, and none so slow is of use: what lies outside is an error.
constexpr double kMinEventIntervalMs = 0.001;
constexpr double kMaxEventIntervalMs = 60'000;
/// Of the recent average: three reports outweigh what was known before.
constexpr double kRecentWeight = 0.3;
/// Nothing that old is told.
constexpr base::Duration kOldest = base::seconds(3600);
/// Gateways tell event intervals twice a second: samples that are apart by no more are of the same
/// time.
constexpr base::Duration kSameTime = base::milliseconds(500);
/// The long run forgets this slowly, so that seconds of slowness hardly change it.
constexpr base::Duration kLongRun = base::seconds(20);
/// A gap between two samples counts as no more than this in the long run.
constexpr base::Duration kMaxStep = base::seconds(1);
/// A sample of this age is as good as a new one.
constexpr base::Duration kFresh = base::seconds(1);
/// After that, recent evidence counts half as much each time this passes.
constexpr base::Duration kRecentHalfLife = base::seconds(2);
/// The long run, where nothing is seen of the engine any more.
constexpr base::Duration kLongRunHalfLife = base::seconds(60);
/// What an engine says of the moment is over by then.
constexpr base::Duration kMoment = base::milliseconds(500);
constexpr std::uint32_t kNormalPercent = 100;
/// More is taken as this: the delay of a moment is bounded anyway.
constexpr std::uint32_t kMaxPercent = 10'000;

bool isPlausible(double eventIntervalMs) {
  return std::isfinite(eventIntervalMs) && eventIntervalMs >= kMinEventIntervalMs &&
         eventIntervalMs <= kMaxEventIntervalMs;
}

/// From `from` to `to` by `share`, as a ratio.
double between(double from, double to, double share) { return from * std::pow(to / from, share); }

double seconds(base::Duration duration) { return base::toSeconds(duration); }

/// What is left of evidence of that age.
double remaining(base::Duration age, base::Duration halfLife) {
  return age <= base::Duration{0} ? 1.0 : std::exp2(-seconds(age) / seconds(halfLife));
}

}  // namespace

bool EngineEventInterval::note(const EventIntervalReport& report, double typicalMs,
                               base::TimePoint now) {
  if (!isPlausible(report.eventIntervalMs) || report.age < base::Duration{0} ||
      report.age > kOldest) {
    return false;
  }
  recordSlowdown(report, now);
  const base::TimePoint sampledAt = now - report.age;
  const bool fresh = report.age <= kFresh;
  if (!isKnown()) {
    m_recentMs = report.eventIntervalMs;
    m_longRunMs = typicalMs > 0 || !fresh ? typicalMs : report.eventIntervalMs;
    m_sampledAt = sampledAt;
    m_learntAt = sampledAt;
    return true;
  }
  const bool sameTime = fresh && sampledAt + kSameTime >= m_sampledAt;
  if (sampledAt <= m_sampledAt && !sameTime) {
    return true;  // told again, or a later one is known
  }
  const base::TimePoint latest = std::max(m_sampledAt, sampledAt);
  m_recentMs = between(expectedMs(typicalMs, latest), report.eventIntervalMs, kRecentWeight);
  m_sampledAt = latest;
  learnLongRun(report.eventIntervalMs, m_sampledAt);
  return true;
}

void EngineEventInterval::learnLongRun(double eventIntervalMs, base::TimePoint now) {
  const base::Duration step = std::min(now - m_learntAt, kMaxStep);
  if (step <= base::Duration{0}) {
    return;
  }
  m_learntAt = now;
  if (m_longRunMs <= 0) {
    m_longRunMs = eventIntervalMs;
    return;
  }
  m_longRunMs =
      between(m_longRunMs, eventIntervalMs, 1.0 - std::exp(-seconds(step) / seconds(kLongRun)));
}

void EngineEventInterval::recordSlowdown(const EventIntervalReport& report, base::TimePoint now) {
  const base::TimePoint saidAt = now - std::max(report.slowdownAge, base::Duration{0});
  if (now - saidAt >= kMoment || (m_slowdownAt && saidAt < *m_slowdownAt)) {
    return;
  }
  m_slowdownAt = saidAt;
  m_slowdownPercent = std::clamp(report.slowdownPercent, kNormalPercent, kMaxPercent);
}

double EngineEventInterval::expectedMs(double typicalMs, base::TimePoint now) const {
  if (!isKnown()) {
    return typicalMs;
  }
  const base::Duration age = now - m_sampledAt;
  if (age <= kFresh) {
    return m_recentMs;
  }
  double longRun = longRunMs();
  if (typicalMs > 0) {
    longRun =
        m_longRunMs > 0 ? between(typicalMs, longRun, remaining(age, kLongRunHalfLife)) : typicalMs;
  }
  return between(longRun, m_recentMs, remaining(age - kFresh, kRecentHalfLife));
}

base::Duration EngineEventInterval::momentaryDelay(base::TimePoint now) const {
  const std::uint32_t percent = slowdownPercent(now);
  return kMoment * (percent - kNormalPercent) / percent;
}

std::uint32_t EngineEventInterval::slowdownPercent(base::TimePoint now) const {
  return m_slowdownAt && now - *m_slowdownAt < kMoment ? m_slowdownPercent : kNormalPercent;
}

std::optional<base::Duration> EngineEventInterval::age(base::TimePoint now) const {
  return isKnown() ? std::optional(now - m_sampledAt) : std::nullopt;
}

}  // namespace tackpick::jobs
