/// \file
/// How many events of an item's text are still to come.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jobs/estimate_calibration.h"
#include "jobs/job_messages.h"
#include "jobs/length_distribution.h"

namespace tackpick::jobs {

/// Lengths of the texts of one kind of job. Learns how real lengths compare with the callers'
/// estimates, and how long texts without an estimate are. Deterministic.
class LengthModel {
 public:
  /// Events still expected of a text that has `soFar`; zero: unknown. `estimate`: of the whole
  /// text, by the caller; zero: none. A text that exceeds its estimate is likely a long one: the
  /// forecast is the mean of the lengths that are still possible.
  [[nodiscard]] double rest(std::uint32_t estimate, std::uint64_t soFar) const;
  /// A text was whole after `events`. The unit of the estimates is known from the first on.
  void learn(std::uint32_t estimate, std::uint64_t events);
  /// Moving average of the forecasts' errors at the start of a text, as a part of its length.
  [[nodiscard]] double error() const { return m_error; }

 private:
  EstimateCalibration m_calibration;
  LengthDistribution m_ratios = priorOfRatios();  ///< real length by calibrated estimate
  LengthDistribution m_lengths;                   ///< of texts without an estimate
  double m_error = 0;
  bool m_hasError = false;

  [[nodiscard]] static LengthDistribution priorOfRatios();
};

/// The length models of all kinds of jobs; jobs of one host and model are of one kind.
class LengthForecast {
 public:
  /// Stays valid, and sees what is learnt later.
  [[nodiscard]] const LengthModel& modelFor(const JobSubmission& job);
  /// Events still expected of an item that has `soFar`; zero: unknown.
  [[nodiscard]] double rest(const JobSubmission& job, const Item& item, std::uint64_t soFar) const;
  void clear() { m_models.clear(); }
  /// An item of `job` was completed.
  void learn(const JobSubmission& job, const ItemResult& result);
  /// Errors by model of weights; of several hosts the greatest counts.
  [[nodiscard]] std::map<std::string, double> errors() const;

 private:
  using Kind = std::pair<std::string, std::string>;  ///< model, host
  std::map<Kind, LengthModel> m_models;
};

}  // namespace tackpick::jobs
