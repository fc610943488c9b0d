#include "routing/outlier_detector.h"

#include <algorithm>

namespace tackpick::routing {

void OutlierDetector::onSuccess(base::EngineId engine) {
  const auto found = records_.find(engine);
  if (found != records_.end()) {
    records_.erase(found);
  }
}

void OutlierDetector::onFailure(base::EngineId engine, base::TimePoint now) {
  Record& record = records_[engine];
  if (now < record.ejectedUntil) {
    return;
  }
  if (now > record.ejectedUntil + settings_.probation) {
    record.ejections = 0;
  }
  ++record.failures;
  if (!record.probation && record.failures < settings_.consecutiveFailures) {
    return;
  }
  constexpr std::uint32_t kLargestShift = 16;
  const auto factor = base::Duration::rep{1} << std::min(record.ejections, kLargestShift);
  record.ejectedUntil = now + std::min(settings_.firstEjection * factor, settings_.maxEjection);
  ++record.ejections;
  record.failures = 0;
  record.probation = true;
}

bool OutlierDetector::isEjected(base::EngineId engine, base::TimePoint now) const {
  const auto found = records_.find(engine);
  return found != records_.end() && now < found->second.ejectedUntil;
}

bool OutlierDetector::onProbation(base::EngineId engine) const {
  const auto found = records_.find(engine);
  return found != records_.end() && found->second.probation;
}

std::size_t OutlierDetector::ejectedCount(base::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const auto& entry) { return now < entry.second.ejectedUntil; }));
}

}  // namespace tackpick::routing
