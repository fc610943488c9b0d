#include "duties/engine_load.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tackpick::test {
namespace {

using duties::InstanceKind;

constexpr std::uint32_t kSlots = 8;
constexpr std::array<std::uint32_t, 4> kStepItems = {128, 144, 144, 96};
constexpr base::Duration kStepInterval = base::seconds(4);
constexpr base::Duration kNotice = base::milliseconds(2400);
constexpr base::Duration kDue = base::milliseconds(7500);
constexpr base::Duration kTick = base::milliseconds(50);

duties::AutoscalerSettings settingsOf(duties::CapacityMode mode) {
  duties::AutoscalerSettings settings;
  settings.plan.mode = mode;
  return settings;
}

/// Most texts are short, some are very long.
base::Duration drawLength(base::SeededRandom& random) {
  constexpr double kMean = 1.0;
  constexpr double kLongest = 7.0;
  constexpr std::uint64_t kSteps = 1'000'000;
  const double uniform = (static_cast<double>(random.below(kSteps)) + 1) / (kSteps + 1);
  const double seconds = std::min(kLongest, -kMean * std::log(uniform));
  return base::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace

EngineLoad::EngineLoad(duties::CapacityMode mode, LoadScenario scenario, std::uint64_t seed)
    : m_scenario(scenario), m_random(seed), m_duty(settingsOf(mode), m_random) {
  m_scaling = {1, 30, base::seconds(4), 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
  m_queues.resize(kStepItems.size());
  m_lastStep.resize(kStepItems.size());
  for (std::size_t model = 0; model < kStepItems.size(); ++model) {
    m_lastStep[model] = m_now - kStepInterval + base::seconds(static_cast<std::int64_t>(model));
  }
  constexpr int kEnginesAZone = 15;
  constexpr int kPreemptible = 3;
  for (const char* zone : {"a", "b", "c"}) {
    for (int engine = 0; engine < kEnginesAZone; ++engine) {
      const auto kind =
          engine < kPreemptible ? InstanceKind::kPreemptible : InstanceKind::kOnDemand;
      addEngine(zone, kind, m_now);
      m_engines.back().model = m_engines.size() % kStepItems.size();
    }
  }
  m_duty.reset(m_state, m_now, m_now);
}

void EngineLoad::addEngine(const std::string& zone, InstanceKind kind, base::TimePoint servesFrom) {
  Engine engine;
  engine.zone = zone;
  engine.kind = kind;
  engine.servesFrom = servesFrom;
  m_engines.push_back(std::move(engine));
}

std::size_t EngineLoad::neediestModel() const {
  std::size_t neediest = 0;
  double most = -1;
  for (std::size_t model = 0; model < m_queues.size(); ++model) {
    const auto engines = std::count_if(m_engines.begin(), m_engines.end(), [&](const Engine& e) {
      return e.model == model && !e.draining && e.servesFrom <= m_now;
    });
    const double need = static_cast<double>(kStepItems[model]) / static_cast<double>(engines + 1);
    if (need > most) {
      most = need;
      neediest = model;
    }
  }
  return neediest;
}

void EngineLoad::offerSteps() {
  for (std::size_t model = 0; model < m_queues.size(); ++model) {
    if (m_now - m_lastStep[model] < kStepInterval) {
      continue;
    }
    m_lastStep[model] = m_now;
    const std::uint32_t items = kStepItems[model] * m_scenario.stepPercent / 100;
    for (std::uint32_t item = 0; item < items; ++item) {
      m_queues[model].push_back({m_now, drawLength(m_random)});
    }
    m_figures.items += items;
  }
}

void EngineLoad::takeAway() {
  constexpr std::uint64_t kShare = 13;
  constexpr std::uint64_t kWhole = 100;
  for (Engine& engine : m_engines) {
    const bool withdrawn = engine.kind == InstanceKind::kPreemptible && engine.zone == "b";
    if (withdrawn || m_random.below(kWhole) < kShare) {
      engine.draining = true;
      engine.leavesAt = m_now + kNotice;
    }
  }
}

void EngineLoad::serve(base::Duration step) {
  for (Engine& engine : m_engines) {
    for (Item& item : engine.running) {
      item.rest -= step;
      if (item.rest <= base::Duration{0}) {
        m_figures.lateItems += m_now - item.cameAt > kDue ? 1 : 0;
      }
    }
    std::erase_if(engine.running, [](const Item& item) { return item.rest <= base::Duration{0}; });
    if (m_now >= engine.leavesAt) {
      // What it has not finished goes on elsewhere with what it has.
      auto& queue = m_queues[engine.model];
      queue.insert(queue.begin(), engine.running.begin(), engine.running.end());
      engine.running.clear();
    }
  }
  std::erase_if(m_engines, [&](const Engine& engine) { return m_now >= engine.leavesAt; });
  for (Engine& engine : m_engines) {
    if (engine.draining || engine.servesFrom > m_now) {
      continue;
    }
    if (engine.servesFrom == m_now) {
      engine.model = neediestModel();
    }
    auto& queue = m_queues[engine.model];
    while (engine.running.size() < kSlots && !queue.empty()) {
      m_waits.push_back(base::toSeconds(m_now - queue.front().cameAt));
      engine.running.push_back(queue.front());
      queue.erase(queue.begin());
    }
  }
}

void EngineLoad::set(const duties::ScaleCall& call) {
  std::uint32_t present = 0;
  for (const Engine& engine : m_engines) {
    const bool counted = engine.zone == call.subject.zone && engine.kind == call.subject.kind;
    present += counted && !engine.draining ? 1 : 0;
  }
  for (; present < call.count; ++present) {
    addEngine(call.subject.zone, call.subject.kind, m_now + m_scaling.startupDuration);
  }
  for (Engine& engine : m_engines) {
    const bool counted = engine.zone == call.subject.zone && engine.kind == call.subject.kind;
    if (present > call.count && counted && !engine.draining) {
      engine.draining = true;
      engine.leavesAt = m_now + kNotice;
      --present;
    }
  }
}

duties::ScaledService EngineLoad::scaledService() const {
  duties::ScaledService service;
  service.name = std::string("e");
  service.scaling = m_scaling;
  service.slots = kSlots;
  service.demand.emplace();
  std::vector<std::uint32_t> running(m_queues.size());
  for (const Engine& engine : m_engines) {
    if (engine.servesFrom > m_now) {
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
      jobs::OpenJob work;
      work.items = items;
      work.waiting = waiting;
      work.age = m_now - m_lastStep[model];
      work.slack = base::milliseconds(500);
      service.demand->works[std::to_string(model)].push_back(std::move(work));
    }
  }
  return service;
}

void EngineLoad::decide() {
  const duties::AutoscalerActions work = m_duty.step(m_state, {{scaledService()}, true, 1, m_now});
  for (const auto& command : work.commands) {
    std::visit([this](const auto& typed) { m_state.apply(typed); }, command);
  }
  if (work.call) {
    set(*work.call);
    m_duty.onOutcome(*work.call, duties::ScaleOutcome::kAccepted, m_now);
  }
}

void EngineLoad::account(base::Duration step) {
  const double seconds = base::toSeconds(step);
  std::uint32_t waiting = 0;
  for (const auto& queue : m_queues) {
    waiting += static_cast<std::uint32_t>(queue.size());
  }
  m_figures.waitingItemSeconds += waiting * seconds;
  for (const Engine& engine : m_engines) {
    const bool onDemand = engine.kind == InstanceKind::kOnDemand;
    m_figures.engineSeconds += seconds;
    m_figures.price += seconds * m_scaling.zonePrices.at(engine.zone) *
                       (onDemand ? 1 : m_scaling.preemptiblePrice);
  }
  if ((m_now - m_begun) % base::seconds(1) == base::Duration{0}) {
    m_figures.waiting.push_back(waiting);
  }
}

LoadFigures EngineLoad::run(base::Duration time) {
  const base::TimePoint end = m_now + time;
  bool tookAway = false;
  for (; m_now < end; m_now += kTick) {
    if (m_scenario.taken && !tookAway && m_now - m_begun >= time / 2) {
      tookAway = true;
      takeAway();
    }
    offerSteps();
    serve(kTick);
    decide();
    account(kTick);
  }
  std::sort(m_waits.begin(), m_waits.end());
  double sum = 0;
  for (const double wait : m_waits) {
    sum += wait;
  }
  m_figures.meanWait = sum / static_cast<double>(std::max<std::size_t>(m_waits.size(), 1));
  m_figures.tenthWait = m_waits.empty() ? 0 : m_waits[m_waits.size() * 9 / 10];
  m_figures.engines = static_cast<std::uint32_t>(m_engines.size());
  return m_figures;
}

}  // namespace tackpick::test
