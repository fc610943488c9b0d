/// \file
/// Corrects callers' estimates by how their earlier ones compare with real lengths.
#pragma once

namespace tackpick::jobs {

/// A linear regression of real lengths on estimates, both as logarithms, in which older
/// observations weigh less. Where estimates err much, extreme ones are drawn towards the mean.
/// Deterministic.
class EstimateCalibration {
 public:
  /// Nothing was observed: the unit of the estimates is not known.
  [[nodiscard]] bool empty() const { return m_weight <= 0; }
  /// The length at the median of what was estimated as `estimate` > 0. Not while empty().
  [[nodiscard]] double predict(double estimate) const;
  /// Both > 0.
  void observe(double estimate, double length);

 private:
  double m_weight = 0;
  double m_meanEstimate = 0;  ///< of logarithms, as is all below
  double m_meanLength = 0;
  double m_variance = 0;    ///< of estimates, times the weight
  double m_covariance = 0;  ///< of estimates and lengths, times the weight
};

}  // namespace tackpick::jobs
