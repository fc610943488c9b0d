#include "jobs/length_distribution.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

constexpr double kBinsPerOctave = 4.0;
/// The binary logarithm where the first bin begins: ratios far below one have bins of their own.
constexpr double kLowestOctave = -8.0;
/// What one more observation leaves of the weight of the earlier ones: a few jobs are remembered.
constexpr double kRetained = 1.0 - 1.0 / 512;
/// Beyond all that was observed a quantity is expected to grow by this factor.
constexpr double kTailGrowth = 1.25;

}  // namespace

LengthDistribution LengthDistribution::logNormal(double median, double spread, double weight) {
  // Quantiles at equal distances of probability stand for the whole.
  constexpr int kSteps = 60;
  constexpr double kReach = 3.0;  // standard deviations
  LengthDistribution made;
  double total = 0;
  for (int step = -kSteps; step <= kSteps; ++step) {
    const double deviation = kReach * step / kSteps;
    total += std::exp(-deviation * deviation / 2);
  }
  for (int step = -kSteps; step <= kSteps; ++step) {
    const double deviation = kReach * step / kSteps;
    const double density = std::exp(-deviation * deviation / 2) / total;
    made.add(median * std::exp(spread * deviation), weight * density);
  }
  made.sumUp();
  return made;
}

std::size_t LengthDistribution::binOf(double value) {
  const double position = (std::log2(value) - kLowestOctave) * kBinsPerOctave;
  const double highest = static_cast<double>(kBins - 1);
  return static_cast<std::size_t>(std::clamp(position, 0.0, highest));
}

void LengthDistribution::add(double value, double weight) {
  Mass& bin = m_bins[binOf(value)];
  bin.weight += weight;
  bin.sum += weight * value;
}

void LengthDistribution::observe(double value) {
  if (!(value > 0)) {
    return;
  }
  for (Mass& bin : m_bins) {
    bin.weight *= kRetained;
    bin.sum *= kRetained;
  }
  add(value, 1);
  sumUp();
}

void LengthDistribution::sumUp() {
  for (std::size_t bin = kBins; bin-- > 0;) {
    m_beyond[bin].weight = m_beyond[bin + 1].weight + m_bins[bin].weight;
    m_beyond[bin].sum = m_beyond[bin + 1].sum + m_bins[bin].sum;
  }
}

double LengthDistribution::meanBeyond(double value) const {
  /// With less than that the tail says nothing.
  constexpr double kMinWeight = 0.05;
  const Mass& tail = value > 0 ? m_beyond[binOf(value) + 1] : m_beyond.front();
  if (tail.weight < kMinWeight) {
    return value * kTailGrowth;
  }
  return std::max(value, tail.sum / tail.weight);
}

}  // namespace tackpick::jobs
