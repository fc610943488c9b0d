#include "jobs/estimate_calibration.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

/// What one more observation leaves of the weight of the earlier ones: a few jobs are remembered.
constexpr double kRetained = 1.0 - 1.0 / 512;
/// Lengths are taken to be proportional to estimates until observations of this weight and variance
/// say otherwise.
constexpr double kPriorWeight = 8.0;
constexpr double kPriorVariance = 0.25;

}  // namespace

double EstimateCalibration::predict(double estimate) const {
  constexpr double kPrior = kPriorWeight * kPriorVariance;
  /// A few odd texts must not make others look endless.
  constexpr double kSteepest = 1.5;
  const double fitted = (m_covariance + kPrior) / (m_variance + kPrior);
  const double slope = std::clamp(fitted, 0.0, kSteepest);
  return std::exp(m_meanLength + slope * (std::log(estimate) - m_meanEstimate));
}

void EstimateCalibration::observe(double estimate, double length) {
  m_weight = m_weight * kRetained + 1;
  m_variance *= kRetained;
  m_covariance *= kRetained;
  const double estimateStep = std::log(estimate) - m_meanEstimate;
  const double lengthStep = std::log(length) - m_meanLength;
  m_meanEstimate += estimateStep / m_weight;
  m_meanLength += lengthStep / m_weight;
  const double remaining = std::log(estimate) - m_meanEstimate;
  m_variance += estimateStep * remaining;
  m_covariance += lengthStep * remaining;
}

}  // namespace tackpick::jobs
