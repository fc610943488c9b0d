/// \file
/// Simulation of trainers, engines and one gateway around ItemLeases.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "jobs/item_leases.h"

namespace tackpick::test {

/// A trainer that submits a job every `interval`, with at most two open jobs.
struct TrainerLoad {
  std::string tenant;
  std::string model;
  std::uint32_t groups = 8;
  std::uint32_t groupSize = 8;
  double medianEvents = 40;
  double spread = 0.6;  ///< standard deviation of the logarithm
  base::Duration interval = base::seconds(4);
  std::uint32_t priority = 0;
};

struct LoadOptions {
  std::vector<TrainerLoad> trainers;
  std::uint32_t engines = 45;
  std::uint32_t slots = 8;
  double eventIntervalMs = 40;
  double maxEvents = 150;
  double estimateSpread = 0.5;
  base::Duration deadline = base::milliseconds(7500);
  base::Duration time = base::seconds(60);
  /// Percentage of engines that accept no items for `shortageTime` of each `shortageInterval`.
  std::uint32_t shortagePercent = 0;
  base::Duration shortageTime = base::seconds(2);
  base::Duration shortageInterval = base::seconds(10);
  bool enginePerModel = false;  ///< each engine holds one model only
  jobs::SchedulerPolicy policy = jobs::SchedulerPolicy::kOldestFirst;
  std::uint64_t seed = 1;
};

struct LoadOutcome {
  std::uint32_t groups = 0;        ///< required groups of jobs that completed or were due
  std::uint32_t groupsInTime = 0;  ///< groups that were complete before the due time
  std::uint32_t jobs = 0;          ///< completed jobs, including late ones
  std::map<std::string, std::uint32_t> jobsOfTenant;

  [[nodiscard]] double inTime() const {
    return groups == 0 ? 1 : groupsInTime / static_cast<double>(groups);
  }
};

class LeaseSimulation {
 public:
  explicit LeaseSimulation(LoadOptions options)
      : m_options(std::move(options)),
        m_random(m_options.seed),
        m_leases(base::milliseconds(1500), base::milliseconds(5), m_options.policy),
        m_trainers(m_options.trainers.size()) {
    m_leases.reset(1, m_now, base::Duration{0});
  }

  LoadOutcome run() {
    const base::TimePoint end = m_now + m_options.time;
    for (; m_now < end; m_now += kStep) {
      changeEngines();
      submitJobs();
      runEngines();
      callGateway();
    }
    for (const auto& [id, open] : m_open) {
      tallyGroups(open);
    }
    return m_outcome;
  }

 private:
  static constexpr base::Duration kStep = base::milliseconds(10);
  static constexpr base::NodeId kGateway = base::makeNodeId(1, 1);
  /// Estimated tokens per event; estimates and events have different units.
  static constexpr double kEstimatePerEvent = 60;

  struct OpenJob {
    std::size_t trainer = 0;
    base::TimePoint submittedAt{};
    std::vector<std::uint64_t> lengths;
    std::vector<std::uint32_t> remainingItems;  ///< remaining items by group
    std::uint32_t required = 0;
    std::uint32_t completeGroups = 0;
    std::uint32_t completeInTime = 0;
  };
  struct Trainer {
    base::TimePoint nextAt{};
    std::uint32_t steps = 0;
    std::uint32_t open = 0;
  };
  struct Running {
    jobs::ItemKey key;
    double events = 0;
  };

  double gaussian() {
    const double one = (static_cast<double>(m_random.next() >> 11U) + 1) / 9007199254740993.0;
    const double two = static_cast<double>(m_random.next() >> 11U) / 9007199254740992.0;
    return std::sqrt(-2 * std::log(one)) * std::cos(2 * std::numbers::pi * two);
  }

  void changeEngines() {
    const base::Duration since = m_now.time_since_epoch();
    const bool shortage =
        since % m_options.shortageInterval >= m_options.shortageInterval - m_options.shortageTime;
    if (m_shortage == shortage) {
      return;
    }
    m_shortage = shortage;
    std::vector<jobs::EngineInfo> engines;
    for (std::uint32_t i = 0; i < m_options.engines; ++i) {
      const bool loads = shortage && i * 37 % 100 < m_options.shortagePercent;
      std::map<std::string, std::uint64_t> versions;
      for (std::size_t t = 0; t < m_options.trainers.size(); ++t) {
        if (!m_options.enginePerModel || i % m_options.trainers.size() == t) {
          versions[m_options.trainers[t].model] = 1;
        }
      }
      engines.push_back({"e" + std::to_string(i), m_options.slots, versions, "z", !loads});
    }
    m_leases.setEngines(std::move(engines));
  }

  void submitJobs() {
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
      Trainer& trainer = m_trainers[i];
      if (trainer.open < 2 && m_now >= trainer.nextAt) {
        submit(i, trainer);
      }
    }
  }

  void submit(std::size_t index, Trainer& trainer) {
    const TrainerLoad& load = m_options.trainers[index];
    jobs::SubmitJob submit;
    submit.job.id = "job" + std::to_string(index) + "-" + std::to_string(trainer.steps++);
    submit.job.tenant = load.tenant;
    submit.job.model = load.model;
    submit.job.priority = load.priority;
    submit.job.minimumVersion = 1;
    submit.job.resultDeadline = m_options.deadline;
    submit.job.requiredGroups = (load.groups * 9 + 9) / 10;
    OpenJob open;
    open.trainer = index;
    open.submittedAt = m_now;
    open.required = submit.job.requiredGroups;
    open.remainingItems.assign(load.groups, load.groupSize);
    for (std::uint32_t item = 0; item < load.groups * load.groupSize; ++item) {
      const double sampledLength = load.medianEvents * std::exp(load.spread * gaussian());
      const double length = std::clamp(sampledLength, 1.0, m_options.maxEvents);
      const double error = std::exp(m_options.estimateSpread * gaussian());
      const double estimate = kEstimatePerEvent * length * error;
      open.lengths.push_back(static_cast<std::uint64_t>(length));
      submit.job.items.push_back({submit.job.id + "-" + std::to_string(item),
                                  "/",
                                  {},
                                  "",
                                  "g" + std::to_string(item / load.groupSize),
                                  static_cast<std::uint32_t>(std::max(1.0, estimate))});
    }
    apply(submit);
    m_leases.addJob(submit.job.id, *m_state.find(submit.job.id), m_now);
    m_open.emplace(submit.job.id, std::move(open));
    ++trainer.open;
    trainer.nextAt = m_now + load.interval;
  }

  void apply(const jobs::JobCommand& command) {
    (void)m_state.apply(++m_index, jobs::encodeCommand(command));
  }

  void runEngines() {
    const double events =
        std::chrono::duration<double, std::milli>(kStep).count() / m_options.eventIntervalMs;
    std::vector<jobs::ItemKey> completed;
    for (auto& [engine, items] : m_running) {
      for (std::size_t i = 0; i < items.size() && i < m_options.slots; ++i) {
        items[i].events += events;
      }
      std::erase_if(items, [&](const Running& item) {
        const auto open = m_open.find(item.key.job);
        if (open == m_open.end()) {
          return true;
        }
        const bool done = item.events >= static_cast<double>(open->second.lengths[item.key.item]);
        if (done) {
          completed.push_back(item.key);
        }
        return done;
      });
    }
    for (const jobs::ItemKey& key : completed) {
      onTextComplete(key);
    }
  }

  void onTextComplete(const jobs::ItemKey& key) {
    const auto found = m_open.find(key.job);
    if (found == m_open.end()) {
      return;
    }
    OpenJob& open = found->second;
    jobs::ItemResult result{key.item, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}};
    result.events = open.lengths[key.item];
    m_leases.forecast().train(m_state.find(key.job)->submission, result);
    m_leases.eventIntervals().addSample(m_state.find(key.job)->submission.model,
                                        m_options.eventIntervalMs);
    apply(jobs::CommitResults{{{key.job, {result}}}});
    const TrainerLoad& load = m_options.trainers[open.trainer];
    if (--open.remainingItems[key.item / load.groupSize] > 0 ||
        open.completeGroups == open.required) {
      return;
    }
    ++open.completeGroups;
    open.completeInTime += m_now - open.submittedAt <= m_options.deadline ? 1 : 0;
    if (open.completeGroups == open.required) {
      tallyGroups(open);
      ++m_outcome.jobs;
      ++m_outcome.jobsOfTenant[load.tenant];
      --m_trainers[open.trainer].open;
      apply(jobs::EndJob{key.job});
      m_open.erase(found);
    }
  }

  void tallyGroups(const OpenJob& open) {
    if (open.completeGroups == open.required || m_now - open.submittedAt >= m_options.deadline) {
      m_outcome.groups += open.required;
      m_outcome.groupsInTime += open.completeInTime;
    }
  }

  void callGateway() {
    std::vector<jobs::HeldItem> held;
    for (const auto& [engine, items] : m_running) {
      for (const Running& item : items) {
        held.push_back({item.key, engine});
      }
    }
    m_leases.refresh(m_state, m_now);
    (void)m_leases.renew(kGateway, held, m_state, m_now);
    m_leases.onLeaseRequest(kGateway, "z", true, m_now);
    jobs::FreeSlots freeSlots;
    for (const TrainerLoad& load : m_options.trainers) {
      freeSlots.add(load.model, 1, 100000);
    }
    for (const jobs::GrantedItem& granted : m_leases.lease(kGateway, freeSlots, m_state, m_now)) {
      m_running[granted.engine].push_back({granted.key});
    }
  }

  const LoadOptions m_options;
  base::SeededRandom m_random;
  base::TimePoint m_now{base::seconds(100)};
  jobs::JobState m_state;
  jobs::ItemLeases m_leases;
  std::vector<Trainer> m_trainers;
  std::map<std::string, OpenJob> m_open;
  std::map<std::string, std::vector<Running>> m_running;  ///< by engine
  std::optional<bool> m_shortage;
  std::uint64_t m_index = 0;
  LoadOutcome m_outcome;
};

}  // namespace tackpick::test
