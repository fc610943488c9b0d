/// \file
/// tackpick-policy: compares scheduling policies in the simulator on both deployment profiles with
/// the same seeds. Prints one table row for each profile and policy, with the spread over the
/// seeds.
#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "simulation/simulator.h"

namespace {

namespace base = tackpick::base;
namespace routing = tackpick::routing;
using tackpick::simulation::RunResult;
using tackpick::simulation::SimulationOptions;
using tackpick::simulation::Simulator;

using Configure = void (*)(SimulationOptions&);

/// A profile or policy; `configure` applies it to the options. A policy without `configure` is the
/// baseline policy with engine faults.
struct NamedOptions {
  std::string name;
  Configure configure;
};

void zoekwerk(SimulationOptions& options) {
  options.engines = 12;
  options.load.requestsPerSecond = 25;
  options.load.notRepeatableFraction = 0;
  options.load.maxResponseTokens = 200;
  options.load.trainers = 2;
  options.load.samplesPerBatch = 512;
  options.load.maxSampleTokens = 900;
  options.load.batchLookahead = 2;
  options.load.stalenessBound = 6;
  options.load.trainingTime = base::milliseconds(4000);
}

void straitFerry(SimulationOptions& options) {
  options.engines = 14;
  options.load.requestsPerSecond = 26;
  options.load.notRepeatableFraction = 0.45;
  options.load.resendFraction = 0;
  options.load.maxResponseTokens = 120;
  options.load.trainers = 1;
  options.load.samplesPerBatch = 1024;
  options.load.maxSampleTokens = 900;
  options.load.batchLookahead = 1;
  options.load.stalenessBound = 2;
  options.load.trainingTime = base::milliseconds(3500);
}

void currentPolicy(SimulationOptions& /*options*/) {}

void baselinePolicy(SimulationOptions& options) {
  options.gateway.queue.fifo = true;
  options.gateway.selector.policy = routing::SelectionPolicy::kRoundRobin;
  options.gateway.resumePartialOutput = false;
  options.gateway.hedgeSlowSamplesEnabled = false;
  options.gateway.longestFirst = false;
  options.ledger.state.longestFirst = false;
}

void noHedge(SimulationOptions& options) { options.gateway.hedgeSlowSamplesEnabled = false; }
void noLongestFirst(SimulationOptions& options) {
  options.gateway.longestFirst = false;
  options.ledger.state.longestFirst = false;
}

void noResume(SimulationOptions& options) { options.gateway.resumePartialOutput = false; }
void noRollouts(SimulationOptions& options) { options.load.trainers = 0; }

void engineFaults(SimulationOptions& options) {
  options.faults.crashEngine = base::seconds(3);
  options.faults.failSwap = base::seconds(5);
}

/// Returns the given quantile (0 to 1) of the values; zero if there are none.
double percentile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(quantile * last)];
}

/// Mean, minimum and maximum of a metric over the seeds.
struct Spread {
  double mean = 0.0;
  double min = 0.0;
  double max = 0.0;
};

Spread computeSpread(const std::vector<RunResult>& results,
                     const std::function<double(const RunResult&)>& metric) {
  Spread spread;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const double value = metric(results[i]);
    spread.mean += value / static_cast<double>(results.size());
    spread.min = i == 0 ? value : std::min(spread.min, value);
    spread.max = i == 0 ? value : std::max(spread.max, value);
  }
  return spread;
}

std::string toText(const Spread& spread, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << spread.mean << " (" << spread.min << "-"
       << spread.max << ")";
  return text.str();
}

std::vector<RunResult> runSeeds(const SimulationOptions& options, std::uint64_t seeds) {
  std::vector<RunResult> results(seeds);
  std::vector<std::thread> threads;
  threads.reserve(seeds);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    threads.emplace_back([&options, &results, seed] {
      Simulator simulator(options, seed, nullptr);
      results[seed - 1] = simulator.run();
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

/// Returns a quantile of the time to first token in milliseconds.
double firstTokenMillis(const RunResult& result, double quantile) {
  constexpr double kMillisPerSecond = 1000.0;
  return percentile(result.statistics.firstTokenSeconds, quantile) * kMillisPerSecond;
}

void print(const std::string& profile, const std::string& policy,
           const std::vector<RunResult>& results) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  std::size_t violations = 0;
  for (const RunResult& result : results) {
    violations += result.violations.size();
  }
  const Spread idle =
      computeSpread(results, [](const RunResult& r) { return r.trainerIdleFraction; });
  const Spread staleness =
      computeSpread(results, [](const RunResult& r) { return r.meanStaleness; });
  const Spread batch = computeSpread(
      results, [](const RunResult& r) { return percentile(r.statistics.batchSeconds, kMedian); });
  const Spread samples = computeSpread(results, [](const RunResult& r) {
    return static_cast<double>(r.statistics.samplesDelivered);
  });
  const Spread firstTokenP50 =
      computeSpread(results, [](const RunResult& r) { return firstTokenMillis(r, kMedian); });
  const Spread firstTokenP99 =
      computeSpread(results, [](const RunResult& r) { return firstTokenMillis(r, kTail); });
  const Spread wasted = computeSpread(results, [](const RunResult& r) {
    return r.statistics.tokensReceived == 0 ? 0.0
                                            : static_cast<double>(r.statistics.tokensDiscarded) /
                                                  static_cast<double>(r.statistics.tokensReceived);
  });
  const Spread utilization =
      computeSpread(results, [](const RunResult& r) { return r.slotUtilization; });
  std::cout << "| " << profile << " | " << policy << " | " << toText(idle, 3) << " | "
            << toText(staleness, 2) << " | " << toText(batch, 2) << " | " << toText(samples, 0)
            << " | " << toText(firstTokenP50, 0) << " | " << toText(firstTokenP99, 0) << " | "
            << toText(wasted, 3) << " | " << toText(utilization, 2) << " | " << violations << " |"
            << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("tackpick-policy", "Compares scheduling policies in the simulator");
  parser.add_options()("seeds", "seeds 1 to N",
                       cxxopts::value<std::uint64_t>()->default_value("5"))(
      "seconds", "simulated seconds of load", cxxopts::value<int>()->default_value("60"))(
      "help", "print this help");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    return 0;
  }
  const std::vector<NamedOptions> profiles = {{"zoekwerk", zoekwerk},
                                              {"strait-ferry", straitFerry}};
  const std::vector<NamedOptions> policies = {
      {"baseline", baselinePolicy},  {"current", currentPolicy},
      {"no hedge", noHedge},         {"no longest-first", noLongestFirst},
      {"no resume", noResume},       {"no rollouts", noRollouts},
      {"baseline, faults", nullptr}, {"current, faults", engineFaults}};
  std::cout << "| profile | policy | trainer idle | staleness mean | batch s p50 | samples | "
               "first token ms p50 | p99 | wasted share | utilization | violations |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const NamedOptions& profile : profiles) {
    for (const NamedOptions& policy : policies) {
      SimulationOptions options;
      options.loadDuration = base::seconds(parsed["seconds"].as<int>());
      options.warmUpDuration = base::seconds(25);
      options.load.operators = 0;
      profile.configure(options);
      if (policy.configure == nullptr) {
        baselinePolicy(options);
        engineFaults(options);
      } else {
        policy.configure(options);
      }
      print(profile.name, policy.name, runSeeds(options, parsed["seeds"].as<std::uint64_t>()));
    }
  }
  return 0;
}
