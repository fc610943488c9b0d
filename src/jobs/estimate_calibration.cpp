#include "jobs/estimate_calibration.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

/// Factor by which each new observation reduces the weight of the earlier ones.
constexpr double kDecay = 1.0 - 1.0 / 512;
/// Weight and variance of the prior, which assumes that lengths are proportional to estimates.
constexpr double kPriorWeight = 8.0;
constexpr double kPriorVariance = 0.25;

}  // namespace

double EstimateCalibration::predict(double estimate) const {
  constexpr double kPrior = kPriorWeight * kPriorVariance;
  /// Maximum slope of the regression; limits the effect of outliers on long estimates.
  constexpr double kMaxSlope = 1.5;
  const double fitted = (m_covariance + kPrior) / (m_variance + kPrior);
  const double slope = std::clamp(fitted, 0.0, kMaxSlope);
  return std::exp(m_meanLength + slope * (std::log(estimate) - m_meanEstimate));
}

void EstimateCalibration::observe(double estimate, double length) {
  m_weight = m_weight * kDecay + 1;
  m_variance *= kDecay;
  m_covariance *= kDecay;
  const double estimateStep = std::log(estimate) - m_meanEstimate;
  const double lengthStep = std::log(length) - m_meanLength;
  m_meanEstimate += estimateStep / m_weight;
  m_meanLength += lengthStep / m_weight;
  const double residual = std::log(estimate) - m_meanEstimate;
  m_variance += estimateStep * residual;
  m_covariance += lengthStep * residual;
}

}  // namespace tackpick::jobs
