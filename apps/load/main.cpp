/// \file
/// tackpick-load: callers and trainers that judge every answer themselves. Exit codes: 0 every
/// promise was kept, 1 one was broken or the run did not end in time, 2 wrong flags.
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

/// Offers the load of the options and collects a report.
class Run {
 public:
  explicit Run(const load::Options& options)
      : options_(options),
        client_(context_),
        callers_(context_, client_, options, report_),
        progress_(context_) {
    std::uint64_t number = 0;
    for (const load::TrainerWorkload& workload : options.profile.trainers) {
      trainers_.push_back(std::make_unique<load::Trainer>(context_, client_, options, workload,
                                                          ++number, weights_, report_));
    }
  }

  /// False when the run did not end.
  bool execute() {
    started_at_ = clock_.now();
    const base::TimePoint end = started_at_ + options_.duration;
    // What was offered must end some time after the offer does.
    constexpr base::Duration kGrace = base::seconds(90);
    give_up_at_ = end + kGrace;
    callers_.start(end);
    for (const auto& trainer : trainers_) {
      trainer->start(end);
    }
    check();
    context_.run();
    collectEngineRecords();
    return ended_;
  }

  [[nodiscard]] const load::Report& report() const { return report_; }

 private:
  void check() {
    bool done = callers_.done();
    for (const auto& trainer : trainers_) {
      done = done && trainer->done();
    }
    const base::TimePoint now = clock_.now();
    if (done || now >= give_up_at_) {
      ended_ = done;
      context_.stop();
      return;
    }
    constexpr base::Duration kReportInterval = base::seconds(5);
    if (now - reported_at_ >= kReportInterval) {
      reported_at_ = now;
      std::cout << "[" << static_cast<int>(base::toSeconds(now - started_at_)) << " s] samples "
                << report_.samplesDelivered << "/" << report_.samplesExpected << ", answers "
                << report_.requestsAnsweredWhole << "/" << report_.requestsSent << ", versions "
                << report_.weightsPublished << ", promises broken " << report_.promisesBroken()
                << std::endl;
    }
    progress_.expires_after(std::chrono::milliseconds(50));
    progress_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        check();
      }
    });
  }

  /// Compares the engines' own records with what callers were told.
  void collectEngineRecords() {
    std::map<std::string, std::uint64_t> runs;
    for (const std::string& url : options_.engineAdminUrls) {
      asio::io_context context;
      http::Client client(context);
      http::ClientRequest request;
      request.url = url + "/record";
      request.timeout = base::seconds(5);
      client.start(request, nullptr, [&](const http::ClientResult& result) {
        const Json body = Json::parse(result.body, nullptr, false);
        if (body.is_object()) {
          for (const Json& run : body["not_repeatable_runs"]) {
            ++runs[run.get<std::string>()];
          }
        }
        context.stop();
      });
      context.run();
    }
    for (const auto& [run, count] : runs) {
      report_.notRepeatableRunTwice += count > 1 ? count - 1 : 0;
      report_.notRunThatRan += callers_.refusedNotRun().contains(run) ? 1 : 0;
    }
  }

  const load::Options& options_;
  asio::io_context context_;
  http::Client client_;
  load::Report report_;
  load::PublishedWeights weights_;
  load::Callers callers_;
  std::vector<std::unique_ptr<load::Trainer>> trainers_;
  base::Timer progress_;
  base::MonotonicTimeSource clock_;
  base::TimePoint started_at_{};
  base::TimePoint give_up_at_{};
  base::TimePoint reported_at_{};
  bool ended_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsage = 2;
  try {
    const load::Options options = load::parseOptions(argc, argv);
    Run run(options);
    const bool ended = run.execute();
    std::cout << run.report().summary();
    if (!ended) {
      std::cout << "the run did not end: something offered was never answered\n";
    }
    if (!options.reportFile.empty()) {
      std::ofstream(options.reportFile) << run.report().toJson() << "\n";
    }
    return ended && run.report().promisesBroken() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "tackpick-load: " << error.what() << "\n";
    return kUsage;
  }
}
