#include "directory/load_scheduler.h"

#include <algorithm>
#include <utility>

#include "base/sorted_cursor.h"
#include "directory/demand_load_policy.h"
#include "directory/oldest_first_load_policy.h"

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

/// Whether a route of the service requires each text to come from one weights version.
bool requiresSingleVersion(const Configuration& configuration, const std::string& service) {
  return std::any_of(
      configuration.routes.begin(), configuration.routes.end(), [&](const Route& route) {
        return route.singleVersion &&
               std::any_of(route.splits.begin(), route.splits.end(),
                           [&](const TrafficSplit& split) { return split.service == service; });
      });
}

std::unique_ptr<const LoadPolicy> makePolicy(const LoadSchedulerSettings& settings) {
  if (settings.loadOrder == LoadOrder::kOldestFirst) {
    return std::make_unique<OldestFirstLoadPolicy>(settings.gracePeriod);
  }
  return std::make_unique<DemandLoadPolicy>(settings.gracePeriod);
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
      m_assigner(settings.assignments, settings.heartbeatTimeout),
      m_forecast(settings.forecast),
      m_loadLimiter(settings.limiter),
      m_loadPolicy(makePolicy(settings)) {}

void LoadScheduler::reset(base::TimePoint earliestCommandTime, EngineAssignments assignments) {
  m_earliestCommandTime = earliestCommandTime;
  m_assigner.reset(std::move(assignments));
  m_forecast.reset();
  m_loadLimiter.reset();
  m_pendingOpenJobs.reset();
  m_summary = {};
  m_published.clear();
  m_issued.clear();
}

void LoadScheduler::setOpenJobs(const jobs::OpenJobsByModel& openJobs, base::TimePoint now) {
  OpenItems items;
  for (const auto& [model, open] : openJobs) {
    items[model] = jobs::itemsOf(open);
  }
  m_assigner.update(items, now);
  m_pendingOpenJobs = PendingOpenJobs{openJobs, now};
}

void LoadScheduler::applyOpenJobs(const DirectoryState& state) {
  if (m_pendingOpenJobs) {
    m_forecast.update(m_pendingOpenJobs->openJobs, state.versions(), m_pendingOpenJobs->at);
    m_pendingOpenJobs.reset();
  }
}

void LoadScheduler::markLoaded(const ReportedEngines& engines, base::TimePoint now) {
  base::SortedCursor reports(engines);
  for (auto& [instance, issued] : m_issued) {
    const ReportedEngine* engine = reports.find(instance);
    if (!issued.isDone && engine != nullptr &&
        reportedVersion(*engine, issued.model) >= issued.version) {
      issued.isDone = true;
      // A delayed older command may revert the engine, so the command may be issued again.
      issued.loadingUntil = now;
      issued.retryAt = now;
      m_loadLimiter.onLoaded(instance, now);
    }
  }
}

void LoadScheduler::removeUnregistered(const DirectoryState& state) {
  std::erase_if(m_issued, [&](const auto& issued) {
    const bool isUnregistered = !state.instances().contains(issued.first);
    if (isUnregistered) {
      m_loadLimiter.onAbandoned(issued.first);
    }
    return isUnregistered;
  });
}

bool LoadScheduler::isInProgress(const IssuedCommand& issued, const ReportedEngine& engine,
                                 base::TimePoint now) {
  return now < issued.loadingUntil && reportedVersion(engine, issued.model) < issued.version;
}

bool LoadScheduler::isLoading(const std::string& instance, const ReportedEngines& engines,
                              base::TimePoint now) const {
  const auto issued = m_issued.find(instance);
  if (issued == m_issued.end()) {
    return false;
  }
  const auto engine = engines.find(instance);
  return engine == engines.end() ? now < issued->second.loadingUntil
                                 : isInProgress(issued->second, engine->second, now);
}

void LoadScheduler::trackPublished(const DirectoryState& state, base::TimePoint now) {
  for (const auto& [model, version] : state.versions()) {
    PublishedVersion& published = m_published[model];
    if (published.version != version) {
      published = {version, now};
    }
  }
}

std::vector<std::string> LoadScheduler::duePolls(const ReportedEngines& engines,
                                                 base::TimePoint now) {
  std::vector<std::string> enginesToPoll;
  for (auto& [instance, issued] : m_issued) {
    if (isLoading(instance, engines, now) && now >= issued.nextPollAt) {
      issued.nextPollAt = now + settings_.pollInterval;
      enginesToPoll.push_back(instance);
    }
  }
  return enginesToPoll;
}

std::size_t LoadScheduler::configuredMaxLoads() const {
  constexpr std::size_t kHundredPercent = 100;
  const std::size_t share =
      (m_assigner.engineCount() * static_cast<std::size_t>(settings_.concurrentLoadsPercent) +
       kHundredPercent / 2) /
      kHundredPercent;
  return std::max(settings_.concurrentLoads, share);
}

ModelLoadStates LoadScheduler::modelStates(const DirectoryState& state, base::TimePoint now) const {
  ModelLoadStates models;
  for (const auto& [model, published] : m_published) {
    models[model] = {published.version, published.seenAt, {}, {}, {}};
  }
  for (const Service& service : state.configuration().services) {
    if (service.models.size() < 2) {
      continue;  // the engines of a single model load every published version
    }
    for (const std::string& model : service.models) {
      const auto found = models.find(model);
      if (found != models.end()) {
        found->second.stepDemands = m_forecast.stepDemands(model, found->second.published, now);
      }
    }
  }
  return models;
}

LoadScheduler::FleetState LoadScheduler::observe(const DirectoryState& state,
                                                 const ReportedEngines& engines,
                                                 base::TimePoint now) const {
  FleetState fleet;
  fleet.models = modelStates(state, now);
  fleet.hasKnownSteps =
      std::any_of(fleet.models.begin(), fleet.models.end(),
                  [](const auto& model) { return !model.second.stepDemands.empty(); });
  base::SortedCursor records(state.instances());
  base::SortedCursor reports(engines);
  base::SortedCursor commands(m_issued);
  for (const auto& [id, assignedModel] : assignments()) {
    const InstanceRecord* record = records.find(id);
    const ReportedEngine* report = reports.find(id);
    const IssuedCommand* issued = commands.find(id);
    const bool loading =
        issued != nullptr &&
        (report == nullptr ? now < issued->loadingUntil : isInProgress(*issued, *report, now));
    EngineCounts& modelCounts = fleet.engines[assignedModel];
    ++modelCounts.total;
    modelCounts.loading += loading ? 1 : 0;
    fleet.loading += loading ? 1 : 0;
    const auto model = fleet.models.find(assignedModel);
    const bool isUsable = record != nullptr && report != nullptr && !record->draining &&
                          now - report->lastSeenAt <= settings_.heartbeatTimeout;
    if (!isUsable || model == fleet.models.end()) {
      continue;
    }
    ModelLoadState& weights = model->second;
    const std::uint64_t held = reportedVersion(*report, assignedModel);
    if (loading) {
      weights.loadingSlots[weights.published] += record->slots;
    } else {
      weights.readySlots[held] += record->slots;
    }
    const bool canBeCommanded = issued == nullptr || issued->isDone || now >= issued->retryAt;
    if (held < weights.published && canBeCommanded &&
        findService(state.configuration(), record->service) != nullptr) {
      fleet.candidates.push_back({&id, &assignedModel, held, record->slots});
    }
  }
  return fleet;
}

std::vector<LoadCommand> LoadScheduler::step(const DirectoryState& state,
                                             const ReportedEngines& engines,
                                             const std::map<std::string, double>& demand,
                                             std::uint64_t term, base::TimePoint now) {
  std::vector<LoadCommand> commands;
  trackPublished(state, now);
  applyOpenJobs(state);
  markLoaded(engines, now);
  removeUnregistered(state);
  m_assigner.assign(state, engines, demand, now);
  m_loadLimiter.setMinLimit(configuredMaxLoads());
  FleetState fleet = observe(state, engines, now);
  updateSummary(fleet, now);
  if (now < m_earliestCommandTime) {
    return commands;
  }
  const base::Duration loadTime = m_loadLimiter.loadTime().value_or(settings_.defaultLoadTime);
  for (const PlannedLoad& load :
       m_loadPolicy->plan(fleet.candidates, fleet.models, loadTime, now)) {
    if (fleet.loading >= m_summary.maxLoads) {
      break;
    }
    EngineCounts& modelCounts = fleet.engines[*load.candidate->model];
    constexpr std::size_t kHundredPercent = 100;
    const std::size_t maxLoading =
        (modelCounts.total * static_cast<std::size_t>(settings_.maxLoadingPercent) +
         kHundredPercent - 1) /
        kHundredPercent;
    if (!load.ignoresModelLimit && modelCounts.loading >= maxLoading) {
      continue;
    }
    ++fleet.loading;
    ++modelCounts.loading;
    commands.push_back(makeCommand(state, *load.candidate, term, now));
    if (!commands.back().drainFirst) {
      m_loadLimiter.onStarted(commands.back().instance, fleet.loading, now);
    }
  }
  return commands;
}

LoadCommand LoadScheduler::makeCommand(const DirectoryState& state, const LoadCandidate& candidate,
                                       std::uint64_t term, base::TimePoint now) {
  const InstanceRecord& record = state.instances().at(*candidate.instance);
  LoadCommand command{record.id,
                      record.host,
                      record.port,
                      *candidate.model,
                      state.versions().at(*candidate.model),
                      term,
                      requiresSingleVersion(state.configuration(), record.service)};
  m_issued[record.id] = {command.model, command.version, now + settings_.loadTimeout,
                         now + settings_.loadTimeout, now + settings_.firstPollDelay};
  return command;
}

void LoadScheduler::updateSummary(const FleetState& fleet, base::TimePoint now) {
  m_summary = {};
  m_summary.loading = fleet.loading;
  m_summary.maxLoads = fleet.hasKnownSteps ? m_loadLimiter.limit() : configuredMaxLoads();
  for (const auto& [name, model] : fleet.models) {
    ModelWeightsSummary& summary = m_summary.models[name];
    summary.published = model.published;
    if (!model.stepDemands.empty()) {
      const StepDemand& first = model.stepDemands.front();
      summary.neededVersion = first.version;
      summary.requiredSlots = first.slots;
      summary.expectedIn = first.expectedAt - now;
    }
    // Without known steps, engines load the published version.
    const std::uint64_t minVersion =
        summary.neededVersion == 0 ? model.published : summary.neededVersion;
    summary.readySlots = slotsFrom(model.readySlots, minVersion);
    summary.loadingSlots = slotsFrom(model.loadingSlots, minVersion);
  }
}

void LoadScheduler::onOutcome(const LoadCommand& command, LoadCommandOutcome outcome,
                              base::TimePoint now) {
  const auto found = m_issued.find(command.instance);
  if (found == m_issued.end() || found->second.version != command.version ||
      found->second.model != command.model) {
    return;
  }
  constexpr base::Duration kBusyRetry = base::milliseconds(700);
  constexpr base::Duration kRefusedRetry = base::seconds(2);
  if (outcome != LoadCommandOutcome::kAccepted) {
    m_loadLimiter.onAbandoned(command.instance);
  }
  if (outcome == LoadCommandOutcome::kBusy) {
    found->second.retryAt = now + kBusyRetry;
    found->second.loadingUntil = found->second.retryAt;
  } else if (outcome == LoadCommandOutcome::kRefused) {
    found->second.retryAt = now + kRefusedRetry;
    found->second.loadingUntil = now;
  } else if (outcome == LoadCommandOutcome::kUnknown) {
    found->second.loadingUntil = now + settings_.unknownOutcomeTimeout;
  }
}

}  // namespace tackpick::directory
