#include "jobs/length_distribution.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

constexpr double kBinsPerOctave = 4.0;
/// Binary logarithm of the lower bound of the first bin. Negative, because ratios below one have
/// bins of their own.
constexpr double kLowestOctave = -8.0;
/// Factor by which each new observation reduces the weight of the earlier ones.
constexpr double kDecay = 1.0 - 1.0 / 512;
/// Expected growth factor of a value beyond all observations.
constexpr double kTailGrowth = 1.25;

}  // namespace

LengthDistribution LengthDistribution::logNormal(double median, double spread, double weight) {
  // Approximates the density at equidistant deviations.
  constexpr int kSteps = 60;
  constexpr double kMaxDeviations = 3.0;  // standard deviations
  LengthDistribution distribution;
  double total = 0;
  for (int step = -kSteps; step <= kSteps; ++step) {
    const double deviation = kMaxDeviations * step / kSteps;
    total += std::exp(-deviation * deviation / 2);
  }
  for (int step = -kSteps; step <= kSteps; ++step) {
    const double deviation = kMaxDeviations * step / kSteps;
    const double density = std::exp(-deviation * deviation / 2) / total;
    distribution.add(median * std::exp(spread * deviation), weight * density);
  }
  distribution.updateTailSums();
  return distribution;
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
    bin.weight *= kDecay;
    bin.sum *= kDecay;
  }
  add(value, 1);
  updateTailSums();
}

void LengthDistribution::updateTailSums() {
  for (std::size_t bin = kBins; bin-- > 0;) {
    m_tailSums[bin].weight = m_tailSums[bin + 1].weight + m_bins[bin].weight;
    m_tailSums[bin].sum = m_tailSums[bin + 1].sum + m_bins[bin].sum;
  }
}

double LengthDistribution::meanAbove(double value) const {
  /// Minimum weight of a usable tail.
  constexpr double kMinWeight = 0.05;
  const Mass& tail = value > 0 ? m_tailSums[binOf(value) + 1] : m_tailSums.front();
  if (tail.weight < kMinWeight) {
    return value * kTailGrowth;
  }
  return std::max(value, tail.sum / tail.weight);
}

}  // namespace tackpick::jobs
