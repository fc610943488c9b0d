/// \file
/// tackpick-sim: runs the daemon's own modules in virtual time under faults. See docs/PROOFS.md.
#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

#include "simulation/scenario.h"

namespace {

using tackpick::simulation::Mutant;
using tackpick::simulation::RunResult;
using tackpick::simulation::Scenario;

constexpr int kUsage = 2;

/// Seeds A-B, both included.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 100;
};

/// What is to be run.
struct RunRequest {
  const Scenario* scenario = nullptr;
  const Mutant* mutant = nullptr;
  SeedRange seeds;
  unsigned jobs = 1;
  bool stopAtFailure = false;
};

std::optional<SeedRange> parseSeeds(const std::string& text) {
  const std::size_t dash = text.find('-');
  const bool digits = !text.empty() && text.find_first_not_of("0123456789-") == std::string::npos;
  if (!digits || dash == 0 || dash + 1 == text.size()) {
    return std::nullopt;
  }
  SeedRange seeds;
  seeds.first = std::stoull(text);
  seeds.last = dash == std::string::npos ? seeds.first : std::stoull(text.substr(dash + 1));
  return seeds.first <= seeds.last ? std::optional(seeds) : std::nullopt;
}

/// Runs the seeds on several threads; each world is on one. Results come in order of seed.
std::vector<RunResult> runSeeds(const RunRequest& request) {
  std::atomic<std::uint64_t> next{request.seeds.first};
  std::atomic<bool> failed{false};
  std::mutex mutex;
  std::map<std::uint64_t, RunResult> results;
  const auto work = [&] {
    while (!(failed && request.stopAtFailure)) {
      const std::uint64_t seed = next++;
      if (seed > request.seeds.last) {
        return;
      }
      RunResult result =
          tackpick::simulation::runScenario(*request.scenario, request.mutant, seed, nullptr);
      failed = failed || !result.violations.empty();
      const std::lock_guard<std::mutex> lock(mutex);
      results.emplace(seed, std::move(result));
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(request.jobs);
  for (unsigned i = 0; i < request.jobs; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<RunResult> ordered;
  ordered.reserve(results.size());
  for (auto& [seed, result] : results) {
    ordered.push_back(std::move(result));
  }
  return ordered;
}

void printViolations(const RunResult& result) {
  for (const auto& violation : result.violations) {
    std::cout << "  seed " << result.seed << " at "
              << tackpick::base::toSeconds(violation.at.time_since_epoch())
              << " s: " << tackpick::simulation::toString(violation.promise) << ": "
              << violation.what << '\n';
  }
}

std::string figuresAsJson(const RunResult& result) {
  const auto& figures = result.figures;
  std::ostringstream text;
  text << "{\"seed\":" << result.seed << ",\"history_hash\":\"" << std::hex << result.historyHash
       << std::dec << "\",\"simulated_seconds\":" << tackpick::base::toSeconds(result.simulated)
       << ",\"violations\":" << result.violations.size()
       << ",\"requests_sent\":" << figures.requestsSent
       << ",\"requests_answered\":" << figures.requestsCompleted
       << ",\"requests_not_run\":" << figures.requestsNotRun
       << ",\"requests_unclear\":" << figures.requestsIndeterminate
       << ",\"connections_lost\":" << figures.connectionsLost
       << ",\"samples_delivered\":" << figures.samplesDelivered
       << ",\"batches_delivered\":" << figures.batchesDelivered
       << ",\"changes_accepted\":" << figures.changesAccepted
       << ",\"versions_published\":" << figures.versionsPublished << ",\"kills\":" << figures.kills
       << ",\"engine_runs\":" << figures.engineRuns << ",\"trainer_idle\":" << result.trainerIdle
       << ",\"mean_staleness\":" << result.meanStaleness << "}";
  return text.str();
}

int run(const RunRequest& request, const std::string& jsonFile) {
  const std::vector<RunResult> results = runSeeds(request);
  std::size_t failed = 0;
  std::uint64_t hash = 0;
  double simulated = 0.0;
  for (const RunResult& result : results) {
    failed += result.violations.empty() ? 0 : 1;
    hash = tackpick::base::mix(hash, result.historyHash);
    simulated += tackpick::base::toSeconds(result.simulated);
    printViolations(result);
  }
  if (!jsonFile.empty()) {
    std::ofstream json(jsonFile);
    for (const RunResult& result : results) {
      json << figuresAsJson(result) << '\n';
    }
  }
  std::cout << request.scenario->name << ": " << simulated << " simulated seconds, history "
            << std::hex << hash << std::dec << '\n'
            << results.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

int list() {
  for (const Scenario& scenario : tackpick::simulation::scenarios()) {
    std::cout << std::left << std::setw(20) << scenario.name << scenario.provokes << '\n';
  }
  std::cout << '\n';
  for (const Mutant& mutant : tackpick::simulation::mutants()) {
    std::cout << std::left << std::setw(26) << mutant.name << std::setw(18) << mutant.scenario
              << "breaks: " << mutant.breaks << '\n';
  }
  return 0;
}

int replay(const RunRequest& request, bool trace) {
  const RunResult result = tackpick::simulation::runScenario(
      *request.scenario, request.mutant, request.seeds.first, trace ? &std::cout : nullptr);
  printViolations(result);
  std::cout << figuresAsJson(result) << '\n';
  return result.violations.empty() ? 0 : 1;
}

/// Runs every mutant in its scenario until a seed catches it.
int runMutants(RunRequest request) {
  std::size_t missed = 0;
  std::size_t caught = 0;
  request.stopAtFailure = true;
  for (const Mutant& mutant : tackpick::simulation::mutants()) {
    request.mutant = &mutant;
    request.scenario = tackpick::simulation::findScenario(mutant.scenario);
    const std::vector<RunResult> results = runSeeds(request);
    const RunResult* catching = nullptr;
    for (const RunResult& result : results) {
      if (!result.violations.empty() && catching == nullptr) {
        catching = &result;
      }
    }
    std::cout << std::left << std::setw(26) << mutant.name << std::setw(18) << mutant.scenario;
    if (catching != nullptr) {
      ++caught;
      std::cout << "caught by seed " << catching->seed << ": "
                << tackpick::simulation::toString(catching->violations.front().promise)
                << std::endl;
    } else {
      ++missed;
      std::cout << "MISSED in " << results.size() << " seeds" << std::endl;
    }
  }
  std::cout << caught << " passed, " << missed << " failed\n";
  return missed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tackpick-sim",
                           "Runs the daemon's modules in virtual time under faults");
  options.positional_help("run|replay|list|mutants");
  options.add_options()("command", "what to do",
                        cxxopts::value<std::string>()->default_value("list"))(
      "scenario", "name of the scenario",
      cxxopts::value<std::string>()->default_value("everything"))(
      "seeds", "first and last seed, A-B", cxxopts::value<std::string>()->default_value("1-100"))(
      "seed", "the seed to replay", cxxopts::value<std::string>()->default_value("1"))(
      "mutant", "break one mechanism", cxxopts::value<std::string>()->default_value(""))(
      "json", "write one line of figures a seed", cxxopts::value<std::string>()->default_value(""))(
      "jobs", "threads",
      cxxopts::value<unsigned>()->default_value(
          std::to_string(std::thread::hardware_concurrency())))("trace", "print what happens")(
      "help", "print this");
  options.parse_positional({"command"});
  try {
    const auto parsed = options.parse(argc, argv);
    const std::string command = parsed["command"].as<std::string>();
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    RunRequest request;
    request.scenario = tackpick::simulation::findScenario(parsed["scenario"].as<std::string>());
    const std::string mutant = parsed["mutant"].as<std::string>();
    request.mutant = tackpick::simulation::findMutant(mutant);
    const auto seeds = parseSeeds(parsed[command == "replay" ? "seed" : "seeds"].as<std::string>());
    request.jobs = std::max(1U, parsed["jobs"].as<unsigned>());
    if (request.scenario == nullptr || !seeds || (!mutant.empty() && request.mutant == nullptr)) {
      std::cerr << "unknown scenario or mutant, or seeds not of the form A-B; see `list`\n";
      return kUsage;
    }
    request.seeds = *seeds;
    if (command == "run") {
      return run(request, parsed["json"].as<std::string>());
    }
    if (command == "replay") {
      return replay(request, parsed.count("trace") > 0);
    }
    if (command == "mutants") {
      return runMutants(request);
    }
    if (command == "list") {
      return list();
    }
    std::cerr << options.help();
    return kUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kUsage;
  }
}
