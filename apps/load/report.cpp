#include "report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace tackpick::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kHighShare = 0.99;

double mean(const std::vector<double>& values) {
  if (values.empty()) {
    return 0.0;
  }
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}  // namespace

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[position];
}

std::uint64_t Report::promisesBroken() const {
  return samplesMissing + samplesDuplicated + samplesStale + samplesMislabelled + answersWrong +
         notRepeatableRunTwice + notRunThatRan;
}

std::string Report::toJson() const {
  const double idle = trainerTotal.count() == 0
                          ? 0.0
                          : base::toSeconds(trainerIdle) / base::toSeconds(trainerTotal);
  const nlohmann::ordered_json json{
      {"samples_expected", samplesExpected},
      {"samples_delivered", samplesDelivered},
      {"samples_missing", samplesMissing},
      {"samples_duplicated", samplesDuplicated},
      {"samples_stale", samplesStale},
      {"samples_mislabelled", samplesMislabelled},
      {"requests_sent", requestsSent},
      {"requests_answered_whole", requestsAnsweredWhole},
      {"requests_refused_not_run", requestsRefusedNotRun},
      {"requests_unclear", requestsIndeterminate},
      {"requests_retried", requestsRetried},
      {"answers_wrong", answersWrong},
      {"not_repeatable_run_twice", notRepeatableRunTwice},
      {"not_run_that_ran", notRunThatRan},
      {"batches", batches},
      {"weights_published", weightsPublished},
      {"trainer_idle_fraction", idle},
      {"staleness_mean", mean(staleness)},
      {"staleness_p99", percentile(staleness, kHighShare)},
      {"first_token_ms_p50", percentile(firstTokenMillis, kMedian)},
      {"first_token_ms_p99", percentile(firstTokenMillis, kHighShare)},
      {"total_ms_p50", percentile(totalMillis, kMedian)},
      {"total_ms_p99", percentile(totalMillis, kHighShare)},
      {"batch_seconds_p50", percentile(batchSeconds, kMedian)},
      {"batch_seconds_max", percentile(batchSeconds, 1.0)},
      {"promises_broken", promisesBroken()}};
  return json.dump(2);
}

std::string Report::summary() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  text << "samples:  " << samplesDelivered << " of " << samplesExpected << " delivered, "
       << samplesMissing << " missing, " << samplesDuplicated << " duplicated, " << samplesStale
       << " stale, " << samplesMislabelled << " mislabelled\n";
  text << "requests: " << requestsAnsweredWhole << " of " << requestsSent << " answered whole, "
       << requestsRefusedNotRun << " refused (not run), " << requestsIndeterminate << " unclear, "
       << answersWrong << " wrong, " << notRepeatableRunTwice << " run twice, " << notRunThatRan
       << " 'not run' that ran\n";
  text << "callers:  first token p50 " << percentile(firstTokenMillis, kMedian) << " ms, p99 "
       << percentile(firstTokenMillis, kHighShare) << " ms\n";
  const double total = base::toSeconds(trainerTotal);
  text << "trainer:  idle " << (total > 0 ? base::toSeconds(trainerIdle) / total : 0.0)
       << " of its time, staleness mean " << mean(staleness) << " p99 "
       << percentile(staleness, kHighShare) << ", " << batches << " batches, " << weightsPublished
       << " versions\n";
  text << "promises broken: " << promisesBroken() << "\n";
  return text.str();
}

}  // namespace tackpick::load
