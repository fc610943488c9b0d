#include "duties/engine_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tackpick::test {
namespace {

using duties::InstanceKind;

constexpr std::uint32_t kSlots = 8;
constexpr std::array<std::uint32_t, 4> kStepItems = {128, 144, 144, 96};
constexpr base::Duration kStepInterval = base::seconds(4);
constexpr base::Duration kPreemptionNotice = base::milliseconds(2400);
constexpr base::Duration kDeadline = base::milliseconds(7500);
constexpr base::Duration kTick = base::milliseconds(50);

duties::AutoscalerSettings settingsOf(duties::CapacityMode mode) {
  duties::AutoscalerSettings settings;
  settings.plan.mode = mode;
  return settings;
}

/// Returns an exponentially distributed duration, limited to kMax seconds.
base::Duration randomDuration(base::SeededRandom& random) {
  constexpr double kMean = 1.0;
  constexpr double kMax = 7.0;
  constexpr std::uint64_t kSteps = 1'000'000;
  const double uniform = (static_cast<double>(random.below(kSteps)) + 1) / (kSteps + 1);
  const double seconds = std::min(kMax, -kMean * std::log(uniform));
  return base::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace

EngineSimulation::EngineSimulation(duties::CapacityMode mode, LoadScenario scenario,
                                   std::uint64_t seed)
    : m_scenario(scenario), m_random(seed), m_autoscaler(settingsOf(mode), m_random) {
  m_scaling = {1, 30, base::seconds(4), 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
  m_queues.resize(kStepItems.size());
  m_lastStep.resize(kStepItems.size());
  for (std::size_t model = 0; model < kStepItems.size(); ++model) {
    m_lastStep[model] = m_now - kStepInterval + base::seconds(static_cast<std::int64_t>(model));
  }
  constexpr int kEnginesPerZone = 15;
  constexpr int kPreemptible = 3;
  for (const char* zone : {"a", "b", "c"}) {
    for (int engine = 0; engine < kEnginesPerZone; ++engine) {
      const auto kind =
          engine < kPreemptible ? InstanceKind::kPreemptible : InstanceKind::kOnDemand;
      addEngine(zone, kind, m_now);
      m_engines.back().model = m_engines.size() % kStepItems.size();
    }
  }
  m_autoscaler.reset(m_state, m_now, m_now);
}

void EngineSimulation::addEngine(const std::string& zone, InstanceKind kind,
                                 base::TimePoint readyAt) {
  Engine engine;
  engine.zone = zone;
  engine.kind = kind;
  engine.readyAt = readyAt;
  m_engines.push_back(std::move(engine));
}

std::size_t EngineSimulation::leastServedModel() const {
  std::size_t leastServed = 0;
  double maxNeed = -1;
  for (std::size_t model = 0; model < m_queues.size(); ++model) {
    const auto engines = std::count_if(m_engines.begin(), m_engines.end(), [&](const Engine& e) {
      return e.model == model && !e.draining && e.readyAt <= m_now;
    });
    const double need = static_cast<double>(kStepItems[model]) / static_cast<double>(engines + 1);
    if (need > maxNeed) {
      maxNeed = need;
      leastServed = model;
    }
  }
  return leastServed;
}

void EngineSimulation::submitSteps() {
  for (std::size_t model = 0; model < m_queues.size(); ++model) {
    if (m_now - m_lastStep[model] < kStepInterval) {
      continue;
    }
    m_lastStep[model] = m_now;
    const std::uint32_t items = kStepItems[model] * m_scenario.stepPercent / 100;
    for (std::uint32_t item = 0; item < items; ++item) {
      m_queues[model].push_back({m_now, randomDuration(m_random)});
    }
    m_result.items += items;
  }
}

void EngineSimulation::preemptEngines() {
  constexpr std::uint64_t kPreemptedPercent = 13;
  constexpr std::uint64_t kHundredPercent = 100;
  for (Engine& engine : m_engines) {
    const bool preemptibleInZone = engine.kind == InstanceKind::kPreemptible && engine.zone == "b";
    if (preemptibleInZone || m_random.below(kHundredPercent) < kPreemptedPercent) {
      engine.draining = true;
      engine.terminatesAt = m_now + kPreemptionNotice;
    }
  }
}

void EngineSimulation::serve(base::Duration step) {
  for (Engine& engine : m_engines) {
    for (Item& item : engine.running) {
      item.remaining -= step;
      if (item.remaining <= base::Duration{0}) {
        m_result.lateItems += m_now - item.arrivedAt > kDeadline ? 1 : 0;
      }
    }
    std::erase_if(engine.running,
                  [](const Item& item) { return item.remaining <= base::Duration{0}; });
    if (m_now >= engine.terminatesAt) {
      // Unfinished items continue on other engines with their remaining time.
      auto& queue = m_queues[engine.model];
      queue.insert(queue.begin(), engine.running.begin(), engine.running.end());
      engine.running.clear();
    }
  }
  std::erase_if(m_engines, [&](const Engine& engine) { return m_now >= engine.terminatesAt; });
  for (Engine& engine : m_engines) {
    if (engine.draining || engine.readyAt > m_now) {
      continue;
    }
    if (engine.readyAt == m_now) {
      engine.model = leastServedModel();
    }
    auto& queue = m_queues[engine.model];
    while (engine.running.size() < kSlots && !queue.empty()) {
      m_waits.push_back(base::toSeconds(m_now - queue.front().arrivedAt));
      engine.running.push_back(queue.front());
      queue.erase(queue.begin());
    }
  }
}

void EngineSimulation::set(const duties::ScaleCall& call) {
  std::uint32_t activeOrStarting = 0;
  for (const Engine& engine : m_engines) {
    const bool counted = engine.zone == call.subject.zone && engine.kind == call.subject.kind;
    activeOrStarting += counted && !engine.draining ? 1 : 0;
  }
  for (; activeOrStarting < call.count; ++activeOrStarting) {
    addEngine(call.subject.zone, call.subject.kind, m_now + m_scaling.startupDuration);
  }
  for (Engine& engine : m_engines) {
    const bool counted = engine.zone == call.subject.zone && engine.kind == call.subject.kind;
    if (activeOrStarting > call.count && counted && !engine.draining) {
      engine.draining = true;
      engine.terminatesAt = m_now + kPreemptionNotice;
      --activeOrStarting;
    }
  }
}

duties::ScaledService EngineSimulation::scaledService() const {
  duties::ScaledService service;
  service.name = std::string("e");
  service.scaling = m_scaling;
  service.slots = kSlots;
  service.demand.emplace();
  std::vector<std::uint32_t> running(m_queues.size());
  for (const Engine& engine : m_engines) {
    if (engine.readyAt > m_now) {
      continue;
    }
    running[engine.model] += static_cast<std::uint32_t>(engine.running.size());
    duties::RegisteredInstances& zone = service.zones[engine.zone];
    const bool onDemand = engine.kind == InstanceKind::kOnDemand;
    if (engine.draining) {
      ++(onDemand ? zone.onDemandDraining : zone.preemptibleDraining);
    } else {
      ++(onDemand ? zone.onDemand : zone.preemptible);
      service.demand->activeSlots += kSlots;
    }
  }
  for (std::size_t model = 0; model < m_queues.size(); ++model) {
    const auto waiting = static_cast<std::uint32_t>(m_queues[model].size());
    const std::uint32_t items = waiting + running[model];
    if (items > 0) {
      jobs::OpenJob job;
      job.items = items;
      job.waiting = waiting;
      job.age = m_now - m_lastStep[model];
      job.slack = base::milliseconds(500);
      service.demand->openJobs[std::to_string(model)].push_back(std::move(job));
    }
  }
  return service;
}

void EngineSimulation::runAutoscaler() {
  const duties::AutoscalerActions actions =
      m_autoscaler.step(m_state, {{scaledService()}, true, 1, m_now});
  for (const auto& command : actions.commands) {
    std::visit([this](const auto& typed) { m_state.apply(typed); }, command);
  }
  if (actions.call) {
    set(*actions.call);
    m_autoscaler.onOutcome(*actions.call, duties::ScaleOutcome::kAccepted, m_now);
  }
}

void EngineSimulation::recordMetrics(base::Duration step) {
  const double seconds = base::toSeconds(step);
  std::uint32_t waiting = 0;
  for (const auto& queue : m_queues) {
    waiting += static_cast<std::uint32_t>(queue.size());
  }
  m_result.waitingItemSeconds += waiting * seconds;
  for (const Engine& engine : m_engines) {
    const bool onDemand = engine.kind == InstanceKind::kOnDemand;
    m_result.engineSeconds += seconds;
    m_result.price += seconds * m_scaling.zonePrices.at(engine.zone) *
                      (onDemand ? 1 : m_scaling.preemptiblePrice);
  }
  if ((m_now - m_startedAt) % base::seconds(1) == base::Duration{0}) {
    m_result.waiting.push_back(waiting);
  }
}

SimulationResult EngineSimulation::run(base::Duration time) {
  const base::TimePoint end = m_now + time;
  bool preempted = false;
  for (; m_now < end; m_now += kTick) {
    if (m_scenario.preempt && !preempted && m_now - m_startedAt >= time / 2) {
      preempted = true;
      preemptEngines();
    }
    submitSteps();
    serve(kTick);
    runAutoscaler();
    recordMetrics(kTick);
  }
  std::sort(m_waits.begin(), m_waits.end());
  double sum = 0;
  for (const double wait : m_waits) {
    sum += wait;
  }
  m_result.meanWait = sum / static_cast<double>(std::max<std::size_t>(m_waits.size(), 1));
  m_result.p90Wait = m_waits.empty() ? 0 : m_waits[m_waits.size() * 9 / 10];
  m_result.engines = static_cast<std::uint32_t>(m_engines.size());
  return m_result;
}

}  // namespace tackpick::test
