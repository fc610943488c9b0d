#include "directory/model_demand.h"

#include <cmath>

namespace tackpick::directory {
namespace {

/// Work counts half after this time.
constexpr double kHalfLifeSeconds = 12.0;
/// Work is aged in steps of this length.
constexpr base::Duration kAgingStep = base::milliseconds(250);

}  // namespace

double ModelDemand::factor(base::TimePoint now) const {
  return std::exp2(-base::toSeconds(now - aged_at_) / kHalfLifeSeconds);
}

void ModelDemand::add(const std::string& model, double events, base::TimePoint now) {
  if (now - aged_at_ >= kAgingStep) {
    const double aged = factor(now);
    for (auto& [known, work] : work_) {
      work *= aged;
    }
    aged_at_ = now;
  }
  work_[model] += events;
}

std::map<std::string, double> ModelDemand::recent(base::TimePoint now) const {
  std::map<std::string, double> recent = work_;
  const double aged = factor(now);
  for (auto& [model, work] : recent) {
    work *= aged;
  }
  return recent;
}

}  // namespace tackpick::directory
