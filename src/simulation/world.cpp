#include "simulation/world.h"

#include <algorithm>
#include <string>

#include "simulation/engine_host.h"
#include "simulation/node_host.h"
#include "simulation/platform.h"

namespace tackpick::simulation {
namespace {

constexpr std::uint32_t kZones = 3;
constexpr base::Duration kStep = base::milliseconds(100);

std::string zoneOf(std::uint32_t index) { return "zone-" + std::to_string(index % kZones); }

control::NodeChange node(const std::string& path,
                         std::map<control::SettingKey, control::SettingValue> values) {
  control::NodeChange change;
  change.path = path;
  change.set = std::move(values);
  return change;
}

/// The root keeps the operators' counter as its token limit.
control::ControlCommand firstConfiguration(const SimulationOptions& options) {
  using control::SettingKey;
  constexpr std::int64_t kPlenty = 1000;
  control::ApplyChange apply;
  apply.author = "setup";
  apply.changes.push_back(node("", {{SettingKey::kTokenLimit, kFirstCounter},
                                    {SettingKey::kRequestsPerSecond, kPlenty},
                                    {SettingKey::kRequestBurst, kPlenty},
                                    {SettingKey::kInFlightLimit, kPlenty},
                                    {SettingKey::kModel, options.engine.model},
                                    {SettingKey::kHedging, true}}));
  apply.changes.push_back(node("t", {}));
  apply.changes.push_back(node("t/ask", {{SettingKey::kPriority, std::int64_t{1}}}));
  apply.changes.push_back(node("t/train", {{SettingKey::kPriority, std::int64_t{5}}}));
  return {"setup", std::move(apply)};
}

}  // namespace

World::World(const SimulationOptions& options, std::uint64_t seed, std::ostream* trace)
    : seed_(seed), environment_(options, seed), store_(options.storeBytesPerSecond) {
  environment_.trace = trace;
}

World::~World() = default;

void World::build() {
  const SimulationOptions& options = environment_.options;
  environment_.network.addMachine(kClientMachine, zoneOf(0));
  environment_.network.addMachine(kPlatformMachine, zoneOf(1));
  environment_.platform = std::make_unique<Platform>(environment_);
  std::uint32_t number = 0;
  const auto addNodes = [&](NodeRole role, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      environment_.nodes.push_back(
          std::make_unique<NodeHost>(environment_, role, ++number, zoneOf(i)));
    }
  };
  addNodes(NodeRole::kController, options.controllers);
  addNodes(NodeRole::kLedger, options.ledgers);
  addNodes(NodeRole::kGateway, options.gateways);
  for (std::uint32_t i = 0; i < options.engines; ++i) {
    environment_.engines.push_back(
        std::make_unique<EngineHost>(environment_, base::EngineId{i + 1}, zoneOf(i), store_));
  }
  for (const auto& engine : environment_.engines) {
    engine->start();
  }
  environment_.observations.setEngineCount(options.engines);
  for (const auto& host : environment_.nodes) {
    host->initialise();
  }
  callers_ = std::make_unique<CallerActor>(environment_);
  for (std::uint32_t i = 0; i < options.load.trainers; ++i) {
    trainers_.push_back(std::make_unique<TrainerActor>(environment_, i, published_version_));
  }
  for (std::uint32_t i = 0; i < std::max(options.load.operators, 1U); ++i) {
    operators_.push_back(std::make_unique<OperatorActor>(environment_, i));
  }
  faults_ = std::make_unique<FaultInjector>(environment_, *operators_.front());
}

bool World::setUp() {
  constexpr base::Duration kMaxSetUp = base::seconds(30);
  const auto done = std::make_shared<bool>(false);
  while (!*done && environment_.loop.now().time_since_epoch() < kMaxSetUp) {
    for (const auto& host : environment_.nodes) {
      if (host->role() == NodeRole::kController) {
        host->submitChange(firstConfiguration(environment_.options),
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

void World::startLoad() {
  environment_.network.setFaults(environment_.options.network);
  callers_->start();
  for (const auto& trainer : trainers_) {
    trainer->start();
  }
  if (environment_.options.load.operators > 0) {
    for (const auto& actor : operators_) {
      actor->start();
    }
  }
  faults_->start();
}

void World::sampleBusyShare() {
  constexpr base::Duration kInterval = base::milliseconds(50);
  std::uint64_t running = 0;
  for (const auto& engine : environment_.engines) {
    running += engine->runningSequences();
  }
  const std::uint64_t slots = environment_.engines.size() * environment_.options.engine.slots;
  busy_sum_ += static_cast<double>(running) / static_cast<double>(slots);
  ++busy_samples_;
  environment_.loop.after(kInterval, [this] {
    if (!load_ended_) {
      sampleBusyShare();
    }
  });
}

void World::beginMeasuring() {
  environment_.metering = environment_.options.metering;
  RunFigures& figures = environment_.observations.figures();
  figures.firstTokenSeconds.clear();
  figures.batchSeconds.clear();
  figures.changeSeconds.clear();
  for (const auto& trainer : trainers_) {
    trainer->beginMeasuring();
  }
  sampleBusyShare();
}

void World::stopLoad() {
  load_ended_ = true;
  environment_.metering = false;
  callers_->stop();
  for (const auto& trainer : trainers_) {
    trainer->stop();
  }
  for (const auto& actor : operators_) {
    actor->stop();
  }
}

bool World::hasSettled() const {
  const auto isDone = [](const auto& actor) { return actor->isDone(); };
  return callers_->isDone() && std::all_of(trainers_.begin(), trainers_.end(), isDone) &&
         std::all_of(operators_.begin(), operators_.end(), isDone);
}

void World::settle() {
  const base::TimePoint end = environment_.loop.now() + environment_.options.settleTime;
  while (!hasSettled() && environment_.loop.now() < end) {
    environment_.loop.runUntil(environment_.loop.now() + kStep);
  }
  if (!hasSettled()) {
    describeReplicas();
  }
  Observations& observations = environment_.observations;
  if (!callers_->isDone()) {
    observations.broken(Promise::kProgress,
                        std::to_string(callers_->outstanding()) + " requests were never answered");
  }
  for (const auto& trainer : trainers_) {
    if (!trainer->isDone()) {
      observations.broken(Promise::kProgress, "a batch never became whole");
    }
  }
  for (const auto& actor : operators_) {
    if (!actor->isDone()) {
      observations.broken(Promise::kProgress, "a change was never answered");
    }
  }
}

void World::describeReplicas() {
  for (const auto& host : environment_.nodes) {
    const consensus::Replica* replica = host->replica();
    if (replica == nullptr) {
      environment_.say("node " + std::to_string(host->number()) +
                       (host->isRunning() ? " runs" : " is down"));
      continue;
    }
    const consensus::RaftConsensus& raft = replica->raft();
    std::string line = "node " + std::to_string(host->id().value) + " state " +
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
    environment_.say(line);
  }
}

void World::judge() {
  // A little longer, so that every gateway has heard of the last change.
  environment_.loop.runUntil(environment_.loop.now() + base::seconds(5));
  for (const auto& engine : environment_.engines) {
    engine->reportRuns();
  }
  for (const auto& host : environment_.nodes) {
    host->noteTokens();
  }
  std::vector<std::int64_t> counters;
  for (const auto& host : environment_.nodes) {
    if (host->role() == NodeRole::kGateway && host->isRunning()) {
      counters.push_back(host->counterInView());
    }
  }
  environment_.observations.finish(counters);
}

RunResult World::run() {
  build();
  if (setUp()) {
    startLoad();
    environment_.loop.runUntil(environment_.loop.now() + environment_.options.warmUp);
    beginMeasuring();
    environment_.loop.runUntil(environment_.loop.now() + environment_.options.faultTime);
    stopLoad();
    faults_->stop();
    settle();
    judge();
  } else {
    environment_.observations.broken(Promise::kProgress,
                                     "the first configuration was not accepted");
  }
  RunResult result;
  result.seed = seed_;
  result.historyHash = environment_.loop.historyHash();
  result.simulated = environment_.loop.now().time_since_epoch();
  result.violations = environment_.observations.violations();
  result.figures = environment_.observations.figures();
  result.busyShare = busy_samples_ == 0 ? 0.0 : busy_sum_ / static_cast<double>(busy_samples_);
  result.meters = environment_.meters;
  for (const auto& trainer : trainers_) {
    result.trainerIdle += trainer->idleShare() / static_cast<double>(trainers_.size());
    result.meanStaleness += trainer->meanStaleness() / static_cast<double>(trainers_.size());
  }
  return result;
}

}  // namespace tackpick::simulation
