#include "directory/model_demand.h"

#include <cmath>

namespace tackpick::directory {
namespace {

/// Work counts half after this time.
constexpr double kHalfLifeSeconds = 12.0;

}  // namespace

void ModelDemand::age(base::TimePoint now) {
  const double factor = std::exp2(-base::toSeconds(now - aged_at_) / kHalfLifeSeconds);
  for (auto& [model, work] : recent_) {
    work *= factor;
  }
  aged_at_ = now;
}

void ModelDemand::report(base::NodeId gateway, const std::map<std::string, std::uint64_t>& workDone,
                         base::TimePoint now) {
  age(now);
  const auto [known, added] = counters_.try_emplace(gateway, workDone);
  if (added) {
    return;  // what it did before this leader's time says nothing of when
  }
  for (const auto& [model, work] : workDone) {
    const std::uint64_t before = known->second[model];
    recent_[model] += work > before ? static_cast<double>(work - before) : 0.0;
  }
  known->second = workDone;
}

void ModelDemand::reset() {
  counters_.clear();
  recent_.clear();
}

}  // namespace tackpick::directory
