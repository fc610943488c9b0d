#include "directory/model_demand.h"

#include <cmath>

namespace tackpick::directory {
namespace {

/// Half-life of recorded work.
constexpr double kHalfLifeSeconds = 12.0;
/// Interval at which decay is applied.
constexpr base::Duration kDecayInterval = base::milliseconds(250);

}  // namespace

double ModelDemand::decayFactor(base::TimePoint now) const {
  return std::exp2(-base::toSeconds(now - m_decayedAt) / kHalfLifeSeconds);
}

void ModelDemand::add(const std::string& model, double events, base::TimePoint now) {
  if (now - m_decayedAt >= kDecayInterval) {
    const double decay = decayFactor(now);
    for (auto& [known, work] : m_work) {
      work *= decay;
    }
    m_decayedAt = now;
  }
  m_work[model] += events;
}

std::map<std::string, double> ModelDemand::recent(base::TimePoint now) const {
  std::map<std::string, double> recent = m_work;
  const double decay = decayFactor(now);
  for (auto& [model, work] : recent) {
    work *= decay;
  }
  return recent;
}

}  // namespace tackpick::directory
