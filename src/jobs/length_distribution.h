/// \file
/// Observed distribution of a positive quantity, and conditional means of its tail.
#pragma once

#include <array>
#include <cstddef>

namespace tackpick::jobs {

/// Histogram of positive values with logarithmic bins; the weights of older observations decay.
/// Deterministic.
class LengthDistribution {
 public:
  /// Returns a log-normal distribution that counts as `weight` observations; `spread` is the
  /// standard deviation of the natural logarithm.
  static LengthDistribution logNormal(double median, double spread, double weight);

  void observe(double value);
  /// Whether there are no observations.
  [[nodiscard]] bool empty() const { return m_tailSums.front().weight <= 0; }
  /// Returns the mean of the values that are greater than `value`.
  [[nodiscard]] double meanAbove(double value) const;

 private:
  static constexpr std::size_t kBins = 112;
  /// Total weight and weighted sum of observations.
  struct Mass {
    double weight = 0;
    double sum = 0;
  };

  [[nodiscard]] static std::size_t binOf(double value);
  void add(double value, double weight);
  void updateTailSums();

  std::array<Mass, kBins> m_bins{};
  std::array<Mass, kBins + 1> m_tailSums{};  ///< cumulative over a bin and all above it
};

}  // namespace tackpick::jobs
