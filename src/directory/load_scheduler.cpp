#include "directory/load_scheduler.h"

#include <algorithm>
#include <utility>

#include "base/sorted_cursor.h"
#include "directory/oldest_first.h"
#include "directory/weights_plan.h"

namespace tackpick::directory {
namespace {

const Service* findService(const Configuration& configuration, const std::string& name) {
  for (const Service& service : configuration.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

/// True when some route wants all of a text from one version.
bool wantsSingleVersion(const Configuration& configuration, const std::string& service) {
  return std::any_of(
      configuration.routes.begin(), configuration.routes.end(), [&](const Route& route) {
        return route.singleVersion &&
               std::any_of(route.splits.begin(), route.splits.end(),
                           [&](const TrafficSplit& split) { return split.service == service; });
      });
}

std::unique_ptr<const LoadPolicy> makePolicy(const LoadSchedulerSettings& settings) {
  if (settings.loadOrder == LoadOrder::kOldestFirst) {
    return std::make_unique<OldestFirst>(settings.settlingTime);
  }
  return std::make_unique<WeightsPlan>(settings.settlingTime);
}

}  // namespace

std::string_view toString(LoadCommandOutcome outcome) {
  switch (outcome) {
    case LoadCommandOutcome::kAccepted:
      return "taken";
    case LoadCommandOutcome::kAlreadyLoaded:
      return "holds";
    case LoadCommandOutcome::kBusy:
      return "busy";
    case LoadCommandOutcome::kRefused:
      return "refused";
    case LoadCommandOutcome::kUnknown:
      return "uncertain";
  }
  return "unknown";
}

LoadScheduler::LoadScheduler(LoadSchedulerSettings settings)
    : settings_(settings),
      m_homes(settings.assignments, settings.heartbeatTimeout),
      m_forecast(settings.forecast),
      m_budget(settings.budget),
      m_policy(makePolicy(settings)) {}

void LoadScheduler::reset(base::TimePoint earliestCommandTime, EngineAssignments assignments) {
  m_earliestCommandTime = earliestCommandTime;
  m_homes.reset(std::move(assignments));
  m_forecast.reset();
  m_budget.reset();
  m_told.reset();
  m_summary = {};
  published_.clear();
  m_issued.clear();
}

void LoadScheduler::setOpenJobs(const jobs::OpenJobsByModel& works, base::TimePoint now) {
  OpenItems items;
  for (const auto& [model, open] : works) {
    items[model] = jobs::itemsOf(open);
  }
  m_homes.note(items, now);
  m_told = ToldWork{works, now};
}

void LoadScheduler::noteTold(const DirectoryState& state) {
  if (m_told) {
    m_forecast.note(m_told->works, state.versions(), m_told->at);
    m_told.reset();
  }
}

void LoadScheduler::noteLoaded(const ReportedEngines& engines, base::TimePoint now) {
  base::SortedCursor reports(engines);
  for (auto& [instance, given] : m_issued) {
    const ReportedEngine* engine = reports.find(instance);
    if (!given.isDone && engine != nullptr &&
        reportedVersion(*engine, given.model) >= given.version) {
      given.isDone = true;
      // An older order that is carried out after this one takes it back: it may be given again.
      given.loadingUntil = now;
      given.retryAt = now;
      m_budget.onLoaded(instance, now);
    }
  }
}

void LoadScheduler::forgetGone(const DirectoryState& state) {
  std::erase_if(m_issued, [&](const auto& given) {
    const bool isGone = !state.instances().contains(given.first);
    if (isGone) {
      m_budget.onAbandoned(given.first);
    }
    return isGone;
  });
}

bool LoadScheduler::isUnderWay(const IssuedCommand& given, const ReportedEngine& engine,
                               base::TimePoint now) {
  return now < given.loadingUntil && reportedVersion(engine, given.model) < given.version;
}

bool LoadScheduler::isLoading(const std::string& instance, const ReportedEngines& engines,
                              base::TimePoint now) const {
  const auto given = m_issued.find(instance);
  if (given == m_issued.end()) {
    return false;
  }
  const auto engine = engines.find(instance);
  return engine == engines.end() ? now < given->second.loadingUntil
                                 : isUnderWay(given->second, engine->second, now);
}

void LoadScheduler::notePublished(const DirectoryState& state, base::TimePoint now) {
  for (const auto& [model, version] : state.versions()) {
    Published& published = published_[model];
    if (published.version != version) {
      published = {version, now};
    }
  }
}

std::vector<std::string> LoadScheduler::dueReports(const ReportedEngines& engines,
                                                   base::TimePoint now) {
  std::vector<std::string> due;
  for (auto& [instance, given] : m_issued) {
    if (isLoading(instance, engines, now) && now >= given.reportAt) {
      given.reportAt = now + settings_.reportInterval;
      due.push_back(instance);
    }
  }
  return due;
}

std::size_t LoadScheduler::configuredMaxLoads() const {
  constexpr std::size_t kWholePercent = 100;
  const std::size_t share =
      (m_homes.engineCount() * static_cast<std::size_t>(settings_.concurrentPercent) +
       kWholePercent / 2) /
      kWholePercent;
  return std::max(settings_.concurrentLoads, share);
}

ModelLoadStates LoadScheduler::modelStates(const DirectoryState& state, base::TimePoint now) const {
  ModelLoadStates models;
  for (const auto& [model, published] : published_) {
    models[model] = {published.version, published.seenAt, {}, {}, {}};
  }
  for (const Service& service : state.configuration().services) {
    if (service.models.size() < 2) {
      continue;  // nobody to share with: each engine loads what is published
    }
    for (const std::string& model : service.models) {
      const auto found = models.find(model);
      if (found != models.end()) {
        found->second.needs = m_forecast.needs(model, found->second.published, now);
      }
    }
  }
  return models;
}

LoadScheduler::Fleet LoadScheduler::observe(const DirectoryState& state,
                                            const ReportedEngines& engines,
                                            base::TimePoint now) const {
  Fleet fleet;
  fleet.models = modelStates(state, now);
  fleet.knowsSteps = std::any_of(fleet.models.begin(), fleet.models.end(),
                                 [](const auto& model) { return !model.second.needs.empty(); });
  base::SortedCursor records(state.instances());
  base::SortedCursor reports(engines);
  base::SortedCursor orders(m_issued);
  for (const auto& [id, home] : assignments()) {
    const InstanceRecord* record = records.find(id);
    const ReportedEngine* report = reports.find(id);
    const IssuedCommand* given = orders.find(id);
    const bool loading = given != nullptr && (report == nullptr ? now < given->loadingUntil
                                                                : isUnderWay(*given, *report, now));
    ModelEngines& ofModel = fleet.engines[home];
    ++ofModel.all;
    ofModel.loading += loading ? 1 : 0;
    fleet.loading += loading ? 1 : 0;
    const auto model = fleet.models.find(home);
    const bool isUsable = record != nullptr && report != nullptr && !record->draining &&
                          now - report->lastSeenAt <= settings_.heartbeatTimeout;
    if (!isUsable || model == fleet.models.end()) {
      continue;
    }
    ModelLoadState& weights = model->second;
    const std::uint64_t held = reportedVersion(*report, home);
    if (loading) {
      weights.loadingSlots[weights.published] += record->slots;
    } else {
      weights.readySlots[held] += record->slots;
    }
    const bool isFree = given == nullptr || given->isDone || now >= given->retryAt;
    if (held < weights.published && isFree &&
        findService(state.configuration(), record->service) != nullptr) {
      fleet.candidates.push_back({&id, &home, held, record->slots});
    }
  }
  return fleet;
}

std::vector<LoadCommand> LoadScheduler::step(const DirectoryState& state,
                                             const ReportedEngines& engines,
                                             const std::map<std::string, double>& demand,
                                             std::uint64_t term, base::TimePoint now) {
  std::vector<LoadCommand> orders;
  notePublished(state, now);
  noteTold(state);
  noteLoaded(engines, now);
  forgetGone(state);
  m_homes.assign(state, engines, demand, now);
  m_budget.setLeast(configuredMaxLoads());
  Fleet fleet = observe(state, engines, now);
  updateSummary(fleet, now);
  if (now < m_earliestCommandTime) {
    return orders;
  }
  const base::Duration loadTime = m_budget.loadTime().value_or(settings_.usualLoad);
  for (const PlannedLoad& load : m_policy->plan(fleet.candidates, fleet.models, loadTime, now)) {
    if (fleet.loading >= m_summary.budget) {
      break;
    }
    ModelEngines& ofModel = fleet.engines[*load.candidate->model];
    constexpr std::size_t kWholePercent = 100;
    const std::size_t most =
        (ofModel.all * static_cast<std::size_t>(settings_.loadingPercent) + kWholePercent - 1) /
        kWholePercent;
    if (!load.isIdle && ofModel.loading >= most) {
      continue;
    }
    ++fleet.loading;
    ++ofModel.loading;
    orders.push_back(makeCommand(state, *load.candidate, term, now));
    if (!orders.back().drainFirst) {
      m_budget.onBegun(orders.back().instance, fleet.loading, now);
    }
  }
  return orders;
}

LoadCommand LoadScheduler::makeCommand(const DirectoryState& state, const LoadCandidate& candidate,
                                       std::uint64_t term, base::TimePoint now) {
  const InstanceRecord& record = state.instances().at(*candidate.instance);
  LoadCommand order{record.id,
                    record.host,
                    record.port,
                    *candidate.model,
                    state.versions().at(*candidate.model),
                    term,
                    wantsSingleVersion(state.configuration(), record.service)};
  m_issued[record.id] = {order.model, order.version, now + settings_.orderTimeout,
                         now + settings_.orderTimeout, now + settings_.firstReport};
  return order;
}

void LoadScheduler::updateSummary(const Fleet& fleet, base::TimePoint now) {
  m_summary = {};
  m_summary.loading = fleet.loading;
  m_summary.budget = fleet.knowsSteps ? m_budget.most() : configuredMaxLoads();
  for (const auto& [name, model] : fleet.models) {
    ModelWeightsSummary& summary = m_summary.models[name];
    summary.published = model.published;
    if (!model.needs.empty()) {
      const StepNeed& first = model.needs.front();
      summary.neededVersion = first.version;
      summary.requiredSlots = first.slots;
      summary.expectedIn = first.expectedAt - now;
    }
    // Where no step is known, engines get what is published.
    const std::uint64_t wanted =
        summary.neededVersion == 0 ? model.published : summary.neededVersion;
    summary.readySlots = slotsFrom(model.readySlots, wanted);
    summary.loadingSlots = slotsFrom(model.loadingSlots, wanted);
  }
}

void LoadScheduler::onOutcome(const LoadCommand& order, LoadCommandOutcome outcome,
                              base::TimePoint now) {
  const auto found = m_issued.find(order.instance);
  if (found == m_issued.end() || found->second.version != order.version ||
      found->second.model != order.model) {
    return;
  }
  constexpr base::Duration kBusyRetry = base::milliseconds(700);
  constexpr base::Duration kRefusedRetry = base::seconds(2);
  if (outcome != LoadCommandOutcome::kAccepted) {
    m_budget.onAbandoned(order.instance);
  }
  if (outcome == LoadCommandOutcome::kBusy) {
    found->second.retryAt = now + kBusyRetry;
    found->second.loadingUntil = found->second.retryAt;
  } else if (outcome == LoadCommandOutcome::kRefused) {
    found->second.retryAt = now + kRefusedRetry;
    found->second.loadingUntil = now;
  } else if (outcome == LoadCommandOutcome::kUnknown) {
    found->second.loadingUntil = now + settings_.uncertainLoad;
  }
}

}  // namespace tackpick::directory
