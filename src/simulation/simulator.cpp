#include "simulation/simulator.h"

#include <algorithm>
#include <string>

#include "simulation/simulated_engine.h"
#include "simulation/simulated_node.h"
#include "simulation/simulated_platform.h"

namespace tackpick::simulation {
namespace {

constexpr std::uint32_t kZones = 3;
constexpr base::Duration kQuiescePollInterval = base::milliseconds(100);

std::string zoneName(std::uint32_t index) { return "zone-" + std::to_string(index % kZones); }

control::NodeChange makeNodeChange(const std::string& path,
                                   std::map<control::SettingKey, control::SettingValue> values) {
  control::NodeChange change;
  change.path = path;
  change.set = std::move(values);
  return change;
}

/// Returns the initial settings. The operators' counter is stored as the token limit of the root
/// node.
control::ControlCommand initialConfiguration(const SimulationOptions& options) {
  using control::SettingKey;
  constexpr std::int64_t kHighLimit = 1000;
  control::ApplyChange apply;
  apply.author = "setup";
  apply.changes.push_back(makeNodeChange("", {{SettingKey::kTokenLimit, kInitialCounter},
                                              {SettingKey::kRequestsPerSecond, kHighLimit},
                                              {SettingKey::kRequestBurst, kHighLimit},
                                              {SettingKey::kInFlightLimit, kHighLimit},
                                              {SettingKey::kModel, options.engine.model},
                                              {SettingKey::kHedging, true}}));
  apply.changes.push_back(makeNodeChange("t", {}));
  apply.changes.push_back(makeNodeChange("t/ask", {{SettingKey::kPriority, std::int64_t{1}}}));
  apply.changes.push_back(makeNodeChange("t/train", {{SettingKey::kPriority, std::int64_t{5}}}));
  return {"setup", std::move(apply)};
}

}  // namespace

Simulator::Simulator(const SimulationOptions& options, std::uint64_t seed,
                     std::ostream* traceOutput)
    : seed_(seed), environment_(options, seed), store_(options.storeBytesPerSecond) {
  environment_.traceOutput = traceOutput;
}

Simulator::~Simulator() = default;

void Simulator::build() {
  const SimulationOptions& options = environment_.options;
  environment_.network.addMachine(kClientMachine, zoneName(0));
  environment_.network.addMachine(kPlatformMachine, zoneName(1));
  environment_.platform = std::make_unique<SimulatedPlatform>(environment_);
  std::uint32_t number = 0;
  const auto addNodes = [&](NodeRole role, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      environment_.nodes.push_back(
          std::make_unique<SimulatedNode>(environment_, role, ++number, zoneName(i)));
    }
  };
  addNodes(NodeRole::kController, options.controllers);
  addNodes(NodeRole::kLedger, options.ledgers);
  addNodes(NodeRole::kGateway, options.gateways);
  for (std::uint32_t i = 0; i < options.engines; ++i) {
    environment_.engines.push_back(std::make_unique<SimulatedEngine>(
        environment_, base::EngineId{i + 1}, zoneName(i), store_));
  }
  for (const auto& engine : environment_.engines) {
    engine->start();
  }
  environment_.checker.setEngineCount(options.engines);
  for (const auto& node : environment_.nodes) {
    node->bootstrap();
  }
  m_callers = std::make_unique<CallerActor>(environment_);
  for (std::uint32_t i = 0; i < options.load.trainers; ++i) {
    trainers_.push_back(std::make_unique<TrainerActor>(environment_, i, published_version_));
  }
  for (std::uint32_t i = 0; i < std::max(options.load.operators, 1U); ++i) {
    operators_.push_back(std::make_unique<OperatorActor>(environment_, i));
  }
  m_faultInjector = std::make_unique<FaultInjector>(environment_, *operators_.front());
}

bool Simulator::setUp() {
  constexpr base::Duration kMaxSetUp = base::seconds(30);
  const auto done = std::make_shared<bool>(false);
  while (!*done && environment_.loop.now().time_since_epoch() < kMaxSetUp) {
    for (const auto& node : environment_.nodes) {
      if (node->role() == NodeRole::kController) {
        node->submitChange(initialConfiguration(environment_.options),
                           [done](const control::ChangeOutcome* outcome) {
                             *done = *done || (outcome != nullptr &&
                                               outcome->status == control::ChangeStatus::kAccepted);
                           });
      }
    }
    environment_.loop.runUntil(environment_.loop.now() + base::milliseconds(500));
  }
  return *done;
}

void Simulator::startLoad() {
  environment_.network.setFaults(environment_.options.network);
  m_callers->start();
  for (const auto& trainer : trainers_) {
    trainer->start();
  }
  if (environment_.options.load.operators > 0) {
    for (const auto& actor : operators_) {
      actor->start();
    }
  }
  m_faultInjector->start();
}

void Simulator::sampleSlotUtilization() {
  constexpr base::Duration kInterval = base::milliseconds(50);
  std::uint64_t running = 0;
  for (const auto& engine : environment_.engines) {
    running += engine->runningSequences();
  }
  const std::uint64_t slots = environment_.engines.size() * environment_.options.engine.slots;
  m_utilizationSum += static_cast<double>(running) / static_cast<double>(slots);
  ++m_utilizationSamples;
  environment_.loop.scheduleAfter(kInterval, [this] {
    if (!load_ended_) {
      sampleSlotUtilization();
    }
  });
}

void Simulator::startMeasurement() {
  environment_.measureCosts = environment_.options.measureCosts;
  RunStatistics& statistics = environment_.checker.statistics();
  statistics.firstTokenSeconds.clear();
  statistics.batchSeconds.clear();
  statistics.changeSeconds.clear();
  for (const auto& trainer : trainers_) {
    trainer->startMeasurement();
  }
  sampleSlotUtilization();
}

void Simulator::stopLoad() {
  load_ended_ = true;
  environment_.measureCosts = false;
  m_callers->stop();
  for (const auto& trainer : trainers_) {
    trainer->stop();
  }
  for (const auto& actor : operators_) {
    actor->stop();
  }
}

bool Simulator::isQuiescent() const {
  const auto isDone = [](const auto& actor) { return actor->isDone(); };
  return m_callers->isDone() && std::all_of(trainers_.begin(), trainers_.end(), isDone) &&
         std::all_of(operators_.begin(), operators_.end(), isDone);
}

void Simulator::quiesce() {
  const base::TimePoint end = environment_.loop.now() + environment_.options.quiesceTimeout;
  while (!isQuiescent() && environment_.loop.now() < end) {
    environment_.loop.runUntil(environment_.loop.now() + kQuiescePollInterval);
  }
  if (!isQuiescent()) {
    describeReplicas();
  }
  InvariantChecker& checker = environment_.checker;
  if (!m_callers->isDone()) {
    checker.reportViolation(Invariant::kLiveness, std::to_string(m_callers->outstanding()) +
                                                      " requests were never answered");
  }
  for (const auto& trainer : trainers_) {
    if (!trainer->isDone()) {
      checker.reportViolation(Invariant::kLiveness, "a batch was never completed");
    }
  }
  for (const auto& actor : operators_) {
    if (!actor->isDone()) {
      checker.reportViolation(Invariant::kLiveness, "a change was never answered");
    }
  }
}

void Simulator::describeReplicas() {
  for (const auto& node : environment_.nodes) {
    const consensus::Replica* replica = node->replica();
    if (replica == nullptr) {
      environment_.writeTraceLine("node " + std::to_string(node->number()) +
                                  (node->isRunning() ? " runs" : " is down"));
      continue;
    }
    const consensus::RaftConsensus& raft = replica->raft();
    std::string line = "node " + std::to_string(node->id().value) + " state " +
                       std::to_string(static_cast<int>(raft.state())) + " term " +
                       std::to_string(raft.currentTerm()) + " commit " +
                       std::to_string(raft.commitIndex()) + " voters";
    for (const base::NodeId voter : raft.membership().voters) {
      line += " " + std::to_string(voter.value);
    }
    line += " learners";
    for (const base::NodeId learner : raft.membership().learners) {
      line += " " + std::to_string(learner.value);
    }
    environment_.writeTraceLine(line);
  }
}

void Simulator::checkFinalState() {
  // Waits long enough for all gateways to receive the last change.
  environment_.loop.runUntil(environment_.loop.now() + base::seconds(5));
  for (const auto& engine : environment_.engines) {
    engine->reportExecutions();
  }
  for (const auto& node : environment_.nodes) {
    node->recordTokenCounts();
  }
  std::vector<std::int64_t> counters;
  for (const auto& node : environment_.nodes) {
    if (node->role() == NodeRole::kGateway && node->isRunning()) {
      counters.push_back(node->viewedCounter());
    }
  }
  environment_.checker.checkFinalState(counters);
}

RunResult Simulator::run() {
  build();
  if (setUp()) {
    startLoad();
    environment_.loop.runUntil(environment_.loop.now() + environment_.options.warmUpDuration);
    startMeasurement();
    environment_.loop.runUntil(environment_.loop.now() + environment_.options.loadDuration);
    stopLoad();
    m_faultInjector->stop();
    quiesce();
    checkFinalState();
  } else {
    environment_.checker.reportViolation(Invariant::kLiveness,
                                         "the initial settings were not accepted");
  }
  RunResult result;
  result.seed = seed_;
  result.historyHash = environment_.loop.historyHash();
  result.simulated = environment_.loop.now().time_since_epoch();
  result.violations = environment_.checker.violations();
  result.statistics = environment_.checker.statistics();
  result.slotUtilization = m_utilizationSamples == 0
                               ? 0.0
                               : m_utilizationSum / static_cast<double>(m_utilizationSamples);
  result.roleCosts = environment_.roleCosts;
  for (const auto& trainer : trainers_) {
    result.trainerIdleFraction += trainer->idleFraction() / static_cast<double>(trainers_.size());
    result.meanStaleness += trainer->meanStaleness() / static_cast<double>(trainers_.size());
  }
  return result;
}

}  // namespace tackpick::simulation
