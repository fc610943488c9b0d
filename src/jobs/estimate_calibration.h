/// \file
/// Corrects callers' length estimates by comparing earlier estimates with actual lengths.
#pragma once

namespace tackpick::jobs {

/// Linear regression of the logarithms of actual lengths on those of estimates, with decaying
/// weights of older observations. If estimates correlate poorly with lengths, predictions regress
/// towards the mean. Deterministic.
class EstimateCalibration {
 public:
  /// Whether there are no observations. The unit of the estimates is then unknown.
  [[nodiscard]] bool empty() const { return m_weight <= 0; }
  /// Returns the predicted median length for `estimate` > 0. Must not be called while empty().
  [[nodiscard]] double predict(double estimate) const;
  /// Adds an observation; both values must be positive.
  void observe(double estimate, double length);

 private:
  double m_weight = 0;
  double m_meanEstimate = 0;  ///< mean of the logarithms of the estimates
  double m_meanLength = 0;
  double m_variance = 0;    ///< weighted sum of squares of log estimates
  double m_covariance = 0;  ///< weighted sum of products of log estimates and log lengths
};

}  // namespace tackpick::jobs
