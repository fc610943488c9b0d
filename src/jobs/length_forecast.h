/// \file
/// Forecasts the number of remaining events of an item's text.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jobs/estimate_calibration.h"
#include "jobs/job_messages.h"
#include "jobs/length_distribution.h"

namespace tackpick::jobs {

/// Model of the lengths of texts of jobs with the same model and host. Learns how actual lengths
/// relate to the callers' estimates, and the lengths of texts without an estimate. Deterministic.
class LengthModel {
 public:
  /// Returns the expected remaining events of a text with `eventsSoFar` events; zero: unknown.
  /// `estimate`: the caller's estimate of the complete text; zero: none. The forecast is the mean
  /// of the lengths that are still possible, so a text that exceeds its estimate is expected to be
  /// long.
  [[nodiscard]] double remaining(std::uint32_t estimate, std::uint64_t eventsSoFar) const;
  /// Adds the length of a complete text. The first text with an estimate determines the unit of the
  /// estimates.
  void train(std::uint32_t estimate, std::uint64_t events);
  /// Returns the moving average of the relative error of forecasts at the start of a text.
  [[nodiscard]] double error() const { return m_error; }

 private:
  EstimateCalibration m_calibration;
  LengthDistribution m_ratios = ratioPrior();  ///< actual length divided by calibrated estimate
  LengthDistribution m_lengths;                ///< lengths of texts without an estimate
  double m_error = 0;
  bool m_hasError = false;

  [[nodiscard]] static LengthDistribution ratioPrior();
};

/// Length models by model and host of the job.
class LengthForecast {
 public:
  /// Returns the model for a job. The reference stays valid and reflects later training.
  [[nodiscard]] const LengthModel& modelFor(const JobSubmission& job);
  /// Returns the expected remaining events of an item with `eventsSoFar` events; zero: unknown.
  [[nodiscard]] double remaining(const JobSubmission& job, const Item& item,
                                 std::uint64_t eventsSoFar) const;
  void clear() { m_models.clear(); }
  /// Trains the model with the result of an item of `job`.
  void train(const JobSubmission& job, const ItemResult& result);
  /// Returns the forecast errors by model of weights; the maximum over hosts.
  [[nodiscard]] std::map<std::string, double> errors() const;

 private:
  using ModelKey = std::pair<std::string, std::string>;  ///< model, host
  std::map<ModelKey, LengthModel> m_models;
};

}  // namespace tackpick::jobs
