#include "jobs/length_forecast.h"

#include <algorithm>
#include <cmath>

namespace tackpick::jobs {
namespace {

// Prior for calibrated estimates: correct at the median, with a large spread.
constexpr double kPriorMedian = 1.0;
constexpr double kPriorSpread = 0.5;
constexpr double kPriorWeight = 8.0;
constexpr double kErrorWeight = 0.05;

}  // namespace

LengthDistribution LengthModel::ratioPrior() {
  static const LengthDistribution prior =
      LengthDistribution::logNormal(kPriorMedian, kPriorSpread, kPriorWeight);
  return prior;
}

double LengthModel::remaining(std::uint32_t estimate, std::uint64_t eventsSoFar) const {
  const auto length = static_cast<double>(eventsSoFar);
  if (estimate > 0 && !m_calibration.empty()) {
    const double expected = m_calibration.predict(estimate);
    return expected * m_ratios.meanAbove(length / expected) - length;
  }
  return m_lengths.empty() ? 0 : m_lengths.meanAbove(length) - length;
}

void LengthModel::train(std::uint32_t estimate, std::uint64_t events) {
  const auto length = static_cast<double>(events);
  if (events == 0) {
    return;
  }
  const double forecast = remaining(estimate, 0);
  if (forecast > 0) {
    const double error = std::abs(forecast - length) / length;
    m_error += (m_hasError ? kErrorWeight : 1.0) * (error - m_error);
    m_hasError = true;
  }
  if (estimate > 0) {
    if (!m_calibration.empty()) {
      m_ratios.observe(length / m_calibration.predict(estimate));
    }
    m_calibration.observe(estimate, length);
  } else {
    m_lengths.observe(length);
  }
}

const LengthModel& LengthForecast::modelFor(const JobSubmission& job) {
  return m_models[{job.model, job.host}];
}

double LengthForecast::remaining(const JobSubmission& job, const Item& item,
                                 std::uint64_t eventsSoFar) const {
  static const LengthModel kUntrained;
  const auto found = m_models.find({job.model, job.host});
  const LengthModel& model = found == m_models.end() ? kUntrained : found->second;
  return model.remaining(item.expectedTokens, eventsSoFar);
}

void LengthForecast::train(const JobSubmission& job, const ItemResult& result) {
  if (result.state == ItemState::kCompleted && result.item < job.items.size()) {
    m_models[{job.model, job.host}].train(job.items[result.item].expectedTokens, result.events);
  }
}

std::map<std::string, double> LengthForecast::errors() const {
  std::map<std::string, double> errors;
  for (const auto& [key, model] : m_models) {
    double& error = errors[key.first];
    error = std::max(error, model.error());
  }
  return errors;
}

}  // namespace tackpick::jobs
