#include "report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace tackpick::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

double mean(const std::vector<double>& values) {
  if (values.empty()) {
    return 0.0;
  }
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}  // namespace

double percentile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto position = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[position];
}

std::uint64_t Report::violationCount() const {
  return samplesMissing + samplesDuplicated + samplesStale + samplesMislabelled +
         responsesIncorrect + notRepeatableDuplicates + falselyNotRun;
}

std::string Report::toJson() const {
  const double idle = trainerTotalTime.count() == 0
                          ? 0.0
                          : base::toSeconds(trainerIdleTime) / base::toSeconds(trainerTotalTime);
  const nlohmann::ordered_json json{{"samples_expected", samplesExpected},
                                    {"samples_delivered", samplesDelivered},
                                    {"samples_missing", samplesMissing},
                                    {"samples_duplicated", samplesDuplicated},
                                    {"samples_stale", samplesStale},
                                    {"samples_mislabelled", samplesMislabelled},
                                    {"requests_sent", requestsSent},
                                    {"requests_answered_whole", requestsCompleted},
                                    {"requests_refused_not_run", requestsRejectedNotRun},
                                    {"requests_unclear", requestsIndeterminate},
                                    {"requests_retried", requestsRetried},
                                    {"answers_wrong", responsesIncorrect},
                                    {"not_repeatable_run_twice", notRepeatableDuplicates},
                                    {"not_run_that_ran", falselyNotRun},
                                    {"batches", batches},
                                    {"weights_published", weightsPublished},
                                    {"trainer_idle_fraction", idle},
                                    {"staleness_mean", mean(staleness)},
                                    {"staleness_p99", percentile(staleness, kP99)},
                                    {"first_token_ms_p50", percentile(firstTokenMillis, kMedian)},
                                    {"first_token_ms_p99", percentile(firstTokenMillis, kP99)},
                                    {"total_ms_p50", percentile(totalMillis, kMedian)},
                                    {"total_ms_p99", percentile(totalMillis, kP99)},
                                    {"batch_seconds_p50", percentile(batchSeconds, kMedian)},
                                    {"batch_seconds_max", percentile(batchSeconds, 1.0)},
                                    {"promises_broken", violationCount()}};
  return json.dump(2);
}

std::string Report::summary() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  text << "samples:  " << samplesDelivered << " of " << samplesExpected << " delivered, "
       << samplesMissing << " missing, " << samplesDuplicated << " duplicated, " << samplesStale
       << " stale, " << samplesMislabelled << " mislabelled\n";
  text << "requests: " << requestsCompleted << " of " << requestsSent << " answered completely, "
       << requestsRejectedNotRun << " rejected (not run), " << requestsIndeterminate << " unclear, "
       << responsesIncorrect << " wrong, " << notRepeatableDuplicates << " duplicate executions, "
       << falselyNotRun << " rejected as not run but executed\n";
  text << "callers:  first token p50 " << percentile(firstTokenMillis, kMedian) << " ms, p99 "
       << percentile(firstTokenMillis, kP99) << " ms\n";
  const double total = base::toSeconds(trainerTotalTime);
  text << "trainer:  idle " << (total > 0 ? base::toSeconds(trainerIdleTime) / total : 0.0)
       << " (fraction of time), staleness mean " << mean(staleness) << " p99 "
       << percentile(staleness, kP99) << ", " << batches << " batches, " << weightsPublished
       << " versions\n";
  text << "violated invariants: " << violationCount() << "\n";
  return text.str();
}

}  // namespace tackpick::load
