/// \file
/// tackpick-capacity: measures the cost of each role as the cluster grows. Simulates up to
/// thousands of gateways and engines without token traffic in one process, using the daemon's own
/// modules. Prints one table for each benchmark; --data FOLDER also writes the columns for the
/// plots.
#include <malloc.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "control/control_state.h"
#include "ledger/ledger_state.h"
#include "simulation/simulator.h"

namespace {

namespace base = tackpick::base;
namespace control = tackpick::control;
namespace ledger = tackpick::ledger;
namespace simulation = tackpick::simulation;
using simulation::RoleCost;
using simulation::RunResult;
using simulation::SimulationOptions;

constexpr double kPercent = 100.0;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMillisPerSecond = 1e3;
constexpr double kSecondsPerDay = 86'400.0;
constexpr double kChangesPerDay = 17'000.0;
constexpr std::size_t kController = 0;
constexpr std::size_t kLedger = 1;
constexpr std::size_t kGateway = 2;

/// Prints a table to standard output and, if a folder is given, writes its columns to a file.
class Table {
 public:
  Table(const std::string& title, const std::string& name, const std::string& folder,
        const std::vector<std::string>& columns) {
    std::cout << "\n" << title << "\n\n|";
    for (const std::string& column : columns) {
      std::cout << ' ' << column << " |";
    }
    std::cout << "\n|";
    for (std::size_t i = 0; i < columns.size(); ++i) {
      std::cout << "---|";
    }
    std::cout << std::endl;
    if (!folder.empty()) {
      m_file.open(folder + "/" + name + ".txt");
    }
  }

  void row(const std::vector<double>& values) {
    std::ostringstream line;
    std::ostringstream dataLine;
    constexpr int kDigits = 4;
    for (const double value : values) {
      line << ' ' << std::setprecision(kDigits) << value << " |";
      dataLine << value << ' ';
    }
    std::cout << "|" << line.str() << std::endl;
    if (m_file.is_open()) {
      m_file << dataLine.str() << std::endl;
    }
  }

 private:
  std::ofstream m_file;
};

/// Returns the given quantile (0 to 1) of the values; zero if there are none.
double percentile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

/// Returns the options of a cluster without callers and trainers, in which one operator changes the
/// root settings node.
SimulationOptions idleClusterOptions(std::uint32_t gateways, std::uint32_t engines,
                                     double changesPerDay) {
  constexpr double kNoChangeInterval = 1e9;
  SimulationOptions options;
  options.gateways = gateways;
  options.engines = engines;
  options.measureCosts = true;
  options.load.requestsPerSecond = 1e-6;
  options.load.trainers = 0;
  options.load.operators = 1;
  const double interval = changesPerDay > 0 ? kSecondsPerDay / changesPerDay : kNoChangeInterval;
  options.load.changeInterval = base::milliseconds(static_cast<std::int64_t>(interval * 1000.0));
  options.gateway.gatewaysPerEngine = 2;
  options.warmUpDuration = base::seconds(3);
  options.loadDuration = base::seconds(20);
  options.quiesceTimeout = base::seconds(1);
  return options;
}

RunResult runOnce(const SimulationOptions& options) {
  simulation::Simulator simulator(options, 1, nullptr);
  return simulator.run();
}

/// Returns the CPU usage of one node of a role, in percent of one core.
double cpuPercent(const RoleCost& cost, double nodes, double seconds) {
  return static_cast<double>(cost.cpuNanoseconds) / kNanosecondsPerSecond / seconds / nodes *
         kPercent;
}

/// Returns the bytes that one node of a role sends and receives per second.
double bytesPerSecond(const RoleCost& cost, double nodes, double seconds) {
  const auto bytes =
      static_cast<double>(RoleCost::totalBytes(cost.sent) + RoleCost::totalBytes(cost.received));
  return bytes / seconds / nodes;
}

void measureGateways(const std::string& folder) {
  Table table("Gateways (10 engines, 17,000 changes per day)", "gateways", folder,
              {"gateways", "controller core % (mean of 3)", "controller B/s", "gateway core %",
               "gateway B/s", "in force p50 ms", "in force p99 ms"});
  for (const std::uint32_t gateways : {1U, 10U, 50U, 100U, 200U, 340U}) {
    SimulationOptions options = idleClusterOptions(gateways, 10, kChangesPerDay);
    options.loadDuration = base::seconds(60);
    const RunResult result = runOnce(options);
    const double seconds = base::toSeconds(options.loadDuration);
    constexpr double kMedian = 0.5;
    constexpr double kTail = 0.99;
    table.row({static_cast<double>(gateways),
               cpuPercent(result.roleCosts[kController], options.controllers, seconds),
               bytesPerSecond(result.roleCosts[kController], options.controllers, seconds),
               cpuPercent(result.roleCosts[kGateway], gateways, seconds),
               bytesPerSecond(result.roleCosts[kGateway], gateways, seconds),
               percentile(result.statistics.changeSeconds, kMedian) * kMillisPerSecond,
               percentile(result.statistics.changeSeconds, kTail) * kMillisPerSecond});
  }
}

void measureChanges(const std::string& folder) {
  Table table("Settings changes (50 gateways, 10 engines)", "changes", folder,
              {"changes per day", "controller core %", "controller B/s", "gateway core %",
               "gateway B/s", "accepted"});
  for (const double factor : {0.0, 1.0, 3.0, 10.0}) {
    SimulationOptions options = idleClusterOptions(50, 10, kChangesPerDay * factor);
    options.loadDuration = base::seconds(60);
    const RunResult result = runOnce(options);
    const double seconds = base::toSeconds(options.loadDuration);
    table.row({kChangesPerDay * factor,
               cpuPercent(result.roleCosts[kController], options.controllers, seconds),
               bytesPerSecond(result.roleCosts[kController], options.controllers, seconds),
               cpuPercent(result.roleCosts[kGateway], options.gateways, seconds),
               bytesPerSecond(result.roleCosts[kGateway], options.gateways, seconds),
               static_cast<double>(result.statistics.changesAccepted)});
  }
}

void measureEngines(const std::string& folder) {
  Table table("Engines (each polled by 2 gateways; 20 gateways, so 10% of the engines each)",
              "engines", folder,
              {"engines", "controller core %", "controller B/s", "gateway core %", "gateway B/s",
               "engine polls/s per gateway"});
  for (const std::uint32_t engines : {10U, 100U, 500U, 1500U, 4500U}) {
    SimulationOptions options = idleClusterOptions(20, engines, 0);
    options.loadDuration = base::seconds(5);
    const RunResult result = runOnce(options);
    const double seconds = base::toSeconds(options.loadDuration);
    const double pollsPerSecond =
        static_cast<double>(result.roleCosts[kGateway].engineReads) / seconds / options.gateways;
    table.row({static_cast<double>(engines),
               cpuPercent(result.roleCosts[kController], options.controllers, seconds),
               bytesPerSecond(result.roleCosts[kController], options.controllers, seconds),
               cpuPercent(result.roleCosts[kGateway], options.gateways, seconds),
               bytesPerSecond(result.roleCosts[kGateway], options.gateways, seconds),
               pollsPerSecond});
  }
}

void measureRollouts(const std::string& folder) {
  Table table("New weights on all engines (2 GB per engine, store of 200 GB/s)", "rollouts", folder,
              {"engines", "publish to last engine s", "controller core %", "controller B/s"});
  for (const std::uint32_t engines : {100U, 500U, 1500U, 4500U}) {
    SimulationOptions options = idleClusterOptions(4, engines, 0);
    options.storeBytesPerSecond = 200'000'000'000;
    options.controller.rollout.concurrentLoads = 400;
    options.load.trainers = 1;
    options.load.samplesPerBatch = 1;
    options.load.maxSampleTokens = 2;
    options.load.trainingTime = base::seconds(1);
    options.load.trainerPublishesOnce = true;
    options.warmUpDuration = base::seconds(1);
    options.loadDuration = base::seconds(60);
    options.gateway.pollInterval = base::seconds(2);
    const RunResult result = runOnce(options);
    const double seconds = base::toSeconds(options.loadDuration);
    table.row(
        {static_cast<double>(engines),
         result.statistics.rolloutSeconds.empty() ? -1.0 : result.statistics.rolloutSeconds.front(),
         cpuPercent(result.roleCosts[kController], options.controllers, seconds),
         bytesPerSecond(result.roleCosts[kController], options.controllers, seconds)});
  }
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

void measureWorkloads(const std::string& folder) {
  Table table("Workloads (tenants of ten; six settings each)", "workloads", folder,
              {"workloads", "snapshot bytes", "heap bytes", "apply all ms", "full delta bytes"});
  for (const int workloads : {10, 100, 1000, 5000}) {
    const std::size_t before = heapBytes();
    control::ControlState state;
    control::ApplyChange apply;
    apply.author = "capacity";
    for (int i = 0; i < workloads; ++i) {
      constexpr int kPerTenant = 10;
      const std::string tenant = "tenant-" + std::to_string(i / kPerTenant);
      if (i % kPerTenant == 0) {
        control::NodeChange change;
        change.path = tenant;
        apply.changes.push_back(change);
      }
      using control::SettingKey;
      control::NodeChange change;
      change.path = tenant + "/workload-" + std::to_string(i);
      change.set = {{SettingKey::kPriority, std::int64_t{3}},
                    {SettingKey::kRequestsPerSecond, std::int64_t{100}},
                    {SettingKey::kInFlightLimit, std::int64_t{50}},
                    {SettingKey::kDeadlineMillis, std::int64_t{9000}},
                    {SettingKey::kStalenessBound, std::int64_t{2}},
                    {SettingKey::kModel, std::string("default")}};
      apply.changes.push_back(change);
    }
    const base::Bytes command = base::encode(control::ControlCommand{"capacity", apply});
    RoleCost cost;
    {
      const simulation::CpuTimer timer(&cost);
      (void)state.apply(1, command);
    }
    table.row({static_cast<double>(workloads), static_cast<double>(state.takeSnapshot().size()),
               static_cast<double>(heapBytes() - before),
               static_cast<double>(cost.cpuNanoseconds) / kNanosecondsPerSecond * kMillisPerSecond,
               static_cast<double>(base::encode(state.deltaSince({})).size())});
  }
}

void measureLedgers(const std::string& folder) {
  Table table("Ledger samples (one group; 300 tokens per sample)", "ledgers", folder,
              {"samples", "snapshot bytes", "heap bytes", "us per sample (submit, lease, commit)",
               "snapshot ms"});
  for (const std::uint32_t samples : {256U, 2048U, 18'432U}) {
    constexpr std::uint32_t kTokens = 300;
    const std::size_t before = heapBytes();
    ledger::LedgerState state;
    RoleCost cost;
    RoleCost snapshotCost;
    std::uint64_t index = 0;
    const auto apply = [&](const ledger::LedgerOperation& operation) {
      const base::Bytes command = base::encode(ledger::LedgerCommand{0, operation});
      const simulation::CpuTimer timer(&cost);
      return base::decode<ledger::LedgerResult>(state.apply(++index, command));
    };
    ledger::SubmitBatch submit{{"t/capacity"}, {"t/train"}, "default", {1}, {}};
    for (std::uint32_t i = 0; i < samples; ++i) {
      submit.samples.push_back(
          {i, "a prompt of some length, number " + std::to_string(i), i, 4000});
    }
    apply(submit);
    const auto leased = apply(ledger::LeaseSamples{{1}, {1}, 1, samples});
    for (const ledger::LeasedSample& lease : leased->leased) {
      ledger::CommitSample commit{{"t/capacity"}, lease.fence, {}};
      commit.result.index = lease.sample.index;
      commit.result.tokens.assign(kTokens, 7);
      commit.result.spans = {{{1}, 0, kTokens}};
      apply(commit);
    }
    const std::size_t heap = heapBytes() - before;
    std::size_t snapshot = 0;
    {
      const simulation::CpuTimer timer(&snapshotCost);
      snapshot = state.takeSnapshot().size();
    }
    constexpr double kNanosecondsPerMicrosecond = 1e3;
    table.row({static_cast<double>(samples), static_cast<double>(snapshot),
               static_cast<double>(heap),
               static_cast<double>(cost.cpuNanoseconds) / kNanosecondsPerMicrosecond / samples,
               static_cast<double>(snapshotCost.cpuNanoseconds) / kNanosecondsPerSecond *
                   kMillisPerSecond});
  }
}

void measureLedgerGroup(const std::string& folder) {
  Table table("A ledger group under a trainer (3 replicas, per committed sample)", "ledger-group",
              folder,
              {"samples per batch", "ledger core ms per sample", "ledger bytes per sample"});
  for (const std::uint32_t samples : {64U, 256U, 1024U}) {
    SimulationOptions options = idleClusterOptions(4, 40, 0);
    options.load.trainers = 1;
    options.load.samplesPerBatch = samples;
    options.load.maxSampleTokens = 300;
    options.load.trainingTime = base::seconds(1);
    options.loadDuration = base::seconds(30);
    const RunResult result = runOnce(options);
    const RoleCost& cost = result.roleCosts[kLedger];
    const auto delivered = static_cast<double>(result.statistics.samplesDelivered);
    table.row({static_cast<double>(samples),
               static_cast<double>(cost.cpuNanoseconds) / kNanosecondsPerSecond * kMillisPerSecond /
                   delivered,
               static_cast<double>(RoleCost::totalBytes(cost.sent)) / delivered});
  }
}

/// A benchmark. `measure` writes a data file to `folder` unless `folder` is empty.
struct Benchmark {
  std::string name;
  void (*measure)(const std::string& folder);
};

}  // namespace

int main(int argc, char** argv) {
  const std::vector<Benchmark> benchmarks = {
      {"workloads", measureWorkloads},      {"ledgers", measureLedgers},
      {"ledger-group", measureLedgerGroup}, {"gateways", measureGateways},
      {"changes", measureChanges},          {"engines", measureEngines},
      {"rollouts", measureRollouts}};
  cxxopts::Options parser("tackpick-capacity",
                          "Measures the cost of each role as the cluster grows");
  parser.add_options()("only",
                       "benchmark to run: workloads, ledgers, ledger-group, gateways, changes, "
                       "engines, rollouts",
                       cxxopts::value<std::string>()->default_value(""))(
      "data", "folder for the data files of the plots",
      cxxopts::value<std::string>()->default_value(""))("help", "print this help");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    return 0;
  }
  const std::string only = parsed["only"].as<std::string>();
  for (const Benchmark& benchmark : benchmarks) {
    if (only.empty() || only == benchmark.name) {
      benchmark.measure(parsed["data"].as<std::string>());
    }
  }
  return 0;
}
