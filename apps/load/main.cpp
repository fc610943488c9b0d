/// \file
/// tackpick-load: callers and trainers that check every response. Exit codes: 0 if all invariants
/// hold, 1 if one is violated or the run does not end in time, 2 for wrong flags.
#include <asio.hpp>
#include <fstream>
#include <iostream>
#include <map>

#include "base/timer.h"
#include "callers.h"
#include "options.h"
#include "report.h"
#include "trainers.h"

namespace {

namespace base = tackpick::base;
namespace http = tackpick::http;
namespace load = tackpick::load;
using tackpick::runtime::Json;

/// Generates the load and collects the report.
class LoadRun {
 public:
  explicit LoadRun(const load::Options& options)
      : options_(options),
        client_(context_),
        callers_(context_, client_, options, report_),
        m_progressTimer(context_) {
    std::uint64_t number = 0;
    for (const load::TrainerWorkload& workload : options.profile.trainers) {
      trainers_.push_back(std::make_unique<load::Trainer>(context_, client_, options, workload,
                                                          ++number, weights_, report_));
    }
  }

  /// Runs the load. Returns whether all requests and batches ended in time.
  bool execute() {
    started_at_ = clock_.now();
    const base::TimePoint end = started_at_ + options_.duration;
    // Maximum time for outstanding work after the load has ended.
    constexpr base::Duration kCompletionTimeout = base::seconds(90);
    m_deadline = end + kCompletionTimeout;
    callers_.start(end);
    for (const auto& trainer : trainers_) {
      trainer->start(end);
    }
    checkProgress();
    context_.run();
    collectEngineRecords();
    return m_completed;
  }

  [[nodiscard]] const load::Report& report() const { return report_; }

 private:
  void checkProgress() {
    bool done = callers_.isDone();
    for (const auto& trainer : trainers_) {
      done = done && trainer->isDone();
    }
    const base::TimePoint now = clock_.now();
    if (done || now >= m_deadline) {
      m_completed = done;
      context_.stop();
      return;
    }
    constexpr base::Duration kReportInterval = base::seconds(5);
    if (now - m_lastReportAt >= kReportInterval) {
      m_lastReportAt = now;
      std::cout << "[" << static_cast<int>(base::toSeconds(now - started_at_)) << " s] samples "
                << report_.samplesDelivered << "/" << report_.samplesExpected << ", responses "
                << report_.requestsCompleted << "/" << report_.requestsSent << ", versions "
                << report_.weightsPublished << ", violations " << report_.violationCount()
                << std::endl;
    }
    m_progressTimer.expires_after(std::chrono::milliseconds(50));
    m_progressTimer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        checkProgress();
      }
    });
  }

  /// Compares the executions recorded by the engines with the verdicts that callers received.
  void collectEngineRecords() {
    std::map<std::string, std::uint64_t> executions;
    for (const std::string& url : options_.engineAdminUrls) {
      asio::io_context context;
      http::Client client(context);
      http::ClientRequest request;
      request.url = url + "/record";
      request.timeout = base::seconds(5);
      client.start(request, nullptr, [&](const http::ClientResult& result) {
        const Json body = Json::parse(result.body, nullptr, false);
        if (body.is_object()) {
          for (const Json& execution : body["not_repeatable_runs"]) {
            ++executions[execution.get<std::string>()];
          }
        }
        context.stop();
      });
      context.run();
    }
    for (const auto& [execution, count] : executions) {
      report_.notRepeatableDuplicates += count > 1 ? count - 1 : 0;
      report_.falselyNotRun += callers_.rejectedNotRun().contains(execution) ? 1 : 0;
    }
  }

  const load::Options& options_;
  asio::io_context context_;
  http::Client client_;
  load::Report report_;
  load::PublishedWeights weights_;
  load::Callers callers_;
  std::vector<std::unique_ptr<load::Trainer>> trainers_;
  base::Timer m_progressTimer;
  base::MonotonicTimeSource clock_;
  base::TimePoint started_at_{};
  base::TimePoint m_deadline{};
  base::TimePoint m_lastReportAt{};
  bool m_completed = false;
};

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsageError = 2;
  try {
    const load::Options options = load::parseOptions(argc, argv);
    LoadRun run(options);
    const bool ended = run.execute();
    std::cout << run.report().summary();
    if (!ended) {
      std::cout << "the run did not end in time: some requests or batches were not completed\n";
    }
    if (!options.reportFile.empty()) {
      std::ofstream(options.reportFile) << run.report().toJson() << "\n";
    }
    return ended && run.report().violationCount() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "tackpick-load: " << error.what() << "\n";
    return kUsageError;
  }
}
