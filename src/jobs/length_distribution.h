/// \file
/// The observed distribution of a positive quantity, with its mean residual life.
#pragma once

#include <array>
#include <cstddef>

namespace tackpick::jobs {

/// A histogram over the binary logarithm in which older observations weigh less. Deterministic.
class LengthDistribution {
 public:
  /// Begins with a log-normal distribution that counts as `weight` observations; `spread` is the
  /// standard deviation of the natural logarithm.
  static LengthDistribution logNormal(double median, double spread, double weight);

  void observe(double value);
  /// Nothing is known of the quantity.
  [[nodiscard]] bool empty() const { return m_beyond.front().weight <= 0; }
  /// The mean of those values that are greater than `value`.
  [[nodiscard]] double meanBeyond(double value) const;

 private:
  static constexpr std::size_t kBins = 112;
  /// Weight and weighted sum of observations.
  struct Mass {
    double weight = 0;
    double sum = 0;
  };

  [[nodiscard]] static std::size_t binOf(double value);
  void add(double value, double weight);
  void sumUp();

  std::array<Mass, kBins> m_bins{};
  std::array<Mass, kBins + 1> m_beyond{};  ///< of a bin and all above it
};

}  // namespace tackpick::jobs
