/// \file
/// tackpick-sim: runs the modules of tackpickd under faults in virtual time. See docs/PROOFS.md.
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

constexpr int kUsageError = 2;

/// Range of seeds; both ends are included.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 100;
};

/// Options of a command.
struct RunOptions {
  const Scenario* scenario = nullptr;
  const Mutant* mutant = nullptr;
  SeedRange seeds;
  unsigned threadCount = 1;
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

/// Runs the simulations of all seeds in parallel, each on a single thread. Returns the results in
/// the order of the seeds.
std::vector<RunResult> runSeeds(const RunOptions& options) {
  std::atomic<std::uint64_t> next{options.seeds.first};
  std::atomic<bool> failed{false};
  std::mutex mutex;
  std::map<std::uint64_t, RunResult> results;
  const auto runWorker = [&] {
    while (!(failed && options.stopAtFailure)) {
      const std::uint64_t seed = next++;
      if (seed > options.seeds.last) {
        return;
      }
      RunResult result =
          tackpick::simulation::runScenario(*options.scenario, options.mutant, seed, nullptr);
      failed = failed || !result.violations.empty();
      const std::lock_guard<std::mutex> lock(mutex);
      results.emplace(seed, std::move(result));
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(options.threadCount);
  for (unsigned i = 0; i < options.threadCount; ++i) {
    threads.emplace_back(runWorker);
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
              << " s: " << tackpick::simulation::toString(violation.invariant) << ": "
              << violation.description << '\n';
  }
}

std::string statisticsToJson(const RunResult& result) {
  const auto& statistics = result.statistics;
  std::ostringstream text;
  text << "{\"seed\":" << result.seed << ",\"history_hash\":\"" << std::hex << result.historyHash
       << std::dec << "\",\"simulated_seconds\":" << tackpick::base::toSeconds(result.simulated)
       << ",\"violations\":" << result.violations.size()
       << ",\"requests_sent\":" << statistics.requestsSent
       << ",\"requests_answered\":" << statistics.requestsCompleted
       << ",\"requests_not_run\":" << statistics.requestsNotRun
       << ",\"requests_unclear\":" << statistics.requestsIndeterminate
       << ",\"connections_lost\":" << statistics.connectionsLost
       << ",\"samples_delivered\":" << statistics.samplesDelivered
       << ",\"batches_delivered\":" << statistics.batchesDelivered
       << ",\"changes_accepted\":" << statistics.changesAccepted
       << ",\"versions_published\":" << statistics.versionsPublished
       << ",\"kills\":" << statistics.kills << ",\"engine_runs\":" << statistics.engineExecutions
       << ",\"trainer_idle\":" << result.trainerIdleFraction
       << ",\"mean_staleness\":" << result.meanStaleness << "}";
  return text.str();
}

int run(const RunOptions& options, const std::string& jsonFile) {
  const std::vector<RunResult> results = runSeeds(options);
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
      json << statisticsToJson(result) << '\n';
    }
  }
  std::cout << options.scenario->name << ": " << simulated << " simulated seconds, history "
            << std::hex << hash << std::dec << '\n'
            << results.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

int list() {
  for (const Scenario& scenario : tackpick::simulation::scenarios()) {
    std::cout << std::left << std::setw(20) << scenario.name << scenario.description << '\n';
  }
  std::cout << '\n';
  for (const Mutant& mutant : tackpick::simulation::mutants()) {
    std::cout << std::left << std::setw(26) << mutant.name << std::setw(18) << mutant.scenario
              << "breaks: " << mutant.description << '\n';
  }
  return 0;
}

int replay(const RunOptions& options, bool trace) {
  const RunResult result = tackpick::simulation::runScenario(
      *options.scenario, options.mutant, options.seeds.first, trace ? &std::cout : nullptr);
  printViolations(result);
  std::cout << statisticsToJson(result) << '\n';
  return result.violations.empty() ? 0 : 1;
}

/// Runs each mutant in its scenario until a seed detects it.
int runMutants(RunOptions options) {
  std::size_t undetected = 0;
  std::size_t detected = 0;
  options.stopAtFailure = true;
  for (const Mutant& mutant : tackpick::simulation::mutants()) {
    options.mutant = &mutant;
    options.scenario = tackpick::simulation::findScenario(mutant.scenario);
    const std::vector<RunResult> results = runSeeds(options);
    const RunResult* detectingResult = nullptr;
    for (const RunResult& result : results) {
      if (!result.violations.empty() && detectingResult == nullptr) {
        detectingResult = &result;
      }
    }
    std::cout << std::left << std::setw(26) << mutant.name << std::setw(18) << mutant.scenario;
    if (detectingResult != nullptr) {
      ++detected;
      std::cout << "caught by seed " << detectingResult->seed << ": "
                << tackpick::simulation::toString(detectingResult->violations.front().invariant)
                << std::endl;
    } else {
      ++undetected;
      std::cout << "MISSED in " << results.size() << " seeds" << std::endl;
    }
  }
  std::cout << detected << " passed, " << undetected << " failed\n";
  return undetected == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("tackpick-sim",
                          "Runs the modules of tackpickd under faults in virtual time");
  parser.positional_help("run|replay|list|mutants");
  parser.add_options()("command", "command to run",
                       cxxopts::value<std::string>()->default_value("list"))(
      "scenario", "name of the scenario",
      cxxopts::value<std::string>()->default_value("everything"))(
      "seeds", "range of seeds, A-B", cxxopts::value<std::string>()->default_value("1-100"))(
      "seed", "seed to replay", cxxopts::value<std::string>()->default_value("1"))(
      "mutant", "mutant to apply", cxxopts::value<std::string>()->default_value(""))(
      "json", "file for the statistics, one JSON object per seed and line",
      cxxopts::value<std::string>()->default_value(""))(
      "jobs", "threads",
      cxxopts::value<unsigned>()->default_value(
          std::to_string(std::thread::hardware_concurrency())))(
      "trace", "print a trace of the run")("help", "print this help");
  parser.parse_positional({"command"});
  try {
    const auto parsed = parser.parse(argc, argv);
    const std::string command = parsed["command"].as<std::string>();
    if (parsed.count("help") > 0) {
      std::cout << parser.help();
      return 0;
    }
    RunOptions options;
    options.scenario = tackpick::simulation::findScenario(parsed["scenario"].as<std::string>());
    const std::string mutant = parsed["mutant"].as<std::string>();
    options.mutant = tackpick::simulation::findMutant(mutant);
    const auto seeds = parseSeeds(parsed[command == "replay" ? "seed" : "seeds"].as<std::string>());
    options.threadCount = std::max(1U, parsed["jobs"].as<unsigned>());
    if (options.scenario == nullptr || !seeds || (!mutant.empty() && options.mutant == nullptr)) {
      std::cerr
          << "unknown scenario or mutant, or seeds not of the form A-B; see the command list\n";
      return kUsageError;
    }
    options.seeds = *seeds;
    if (command == "run") {
      return run(options, parsed["json"].as<std::string>());
    }
    if (command == "replay") {
      return replay(options, parsed.count("trace") > 0);
    }
    if (command == "mutants") {
      return runMutants(options);
    }
    if (command == "list") {
      return list();
    }
    std::cerr << parser.help();
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kUsageError;
  }
}
