#include "directory/engine_assigner.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "base/sorted_cursor.h"

namespace tackpick::directory {
namespace {

/// Returns the share of engines by model: at least one while there are enough, the rest in
/// proportion to demand.
std::map<std::string, std::size_t> engineShares(const std::vector<std::string>& models,
                                                const std::map<std::string, double>& demand,
                                                std::size_t engineCount) {
  std::map<std::string, double> weights;
  double total = 0;
  for (const std::string& model : models) {
    const auto found = demand.find(model);
    weights[model] = found == demand.end() ? 0.0 : found->second;
    total += weights[model];
  }
  const double equal = 1.0 / static_cast<double>(models.size());
  const auto engines = static_cast<double>(engineCount);
  std::map<std::string, std::size_t> shares;
  for (std::size_t assigned = 0; assigned < engineCount; ++assigned) {
    // The next engine goes to the model that is furthest below its share.
    std::string mostUnderserved;
    double largestDeficit = 0;
    for (const auto& [model, weight] : weights) {
      const double fraction = total > 0 ? weight / total : equal;
      const double need = shares[model] == 0
                              ? engines + fraction
                              : fraction * engines - static_cast<double>(shares[model]);
      if (mostUnderserved.empty() || need > largestDeficit) {
        mostUnderserved = model;
        largestDeficit = need;
      }
    }
    ++shares[mostUnderserved];
  }
  return shares;
}

}  // namespace

std::uint64_t reportedVersion(const ReportedEngine& engine, const std::string& model) {
  const auto version = engine.versions.find(model);
  return version == engine.versions.end() ? 0 : version->second;
}

std::uint64_t reportedVersion(const ReportedEngines& engines, const std::string& instance,
                              const std::string& model) {
  const auto engine = engines.find(instance);
  return engine == engines.end() ? 0 : reportedVersion(engine->second, model);
}

void EngineAssigner::reset(EngineAssignments assignments) {
  m_assignments = std::move(assignments);
  m_servicesWithStandby.clear();
}

void EngineAssigner::assign(const DirectoryState& state, const ReportedEngines& engines,
                            const std::map<std::string, double>& demand, base::TimePoint now) {
  std::erase_if(m_assignments, [&](const auto& assignment) {
    return !state.instances().contains(assignment.first);
  });
  m_engineCount = 0;
  for (const Service& service : state.configuration().services) {
    if (!service.models.empty()) {
      assignService(service, state, engines, demand, now);
    }
  }
}

void EngineAssigner::assignService(const Service& service, const DirectoryState& state,
                                   const ReportedEngines& engines,
                                   const std::map<std::string, double>& demand,
                                   base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& model : service.models) {
    counts[model] = 0;
  }
  std::vector<const InstanceRecord*> unassigned;
  std::size_t engineCount = 0;
  std::size_t totalSlots = 0;
  base::SortedCursor assignments(m_assignments);
  for (const auto& [id, record] : state.instances()) {
    if (record.service != service.name || record.draining) {
      continue;
    }
    ++engineCount;
    totalSlots += record.slots;
    const std::string* assignment = assignments.find(id);
    if (assignment != nullptr && counts.contains(*assignment)) {
      ++counts[*assignment];
    } else {
      unassigned.push_back(&record);
    }
  }
  m_engineCount += engineCount;
  const std::size_t slots = engineCount == 0 ? 1 : totalSlots / engineCount;
  const auto required = requiredEngines(service, static_cast<std::uint32_t>(slots));
  const std::size_t totalRequired =
      std::accumulate(required.begin(), required.end(), std::size_t{0},
                      [](std::size_t sum, const auto& model) { return sum + model.second; });
  if (totalRequired < engineCount) {
    m_servicesWithStandby.insert(service.name);
    balanceStandby(service, required, state, engines, now);
    return;
  }
  m_servicesWithStandby.erase(service.name);
  double known = 0;
  for (const std::string& model : service.models) {
    const auto work = demand.find(model);
    known += work == demand.end() ? 0.0 : work->second;
  }
  const bool unknown = known < m_settings.minDemand;
  const std::map<std::string, std::size_t> shares =
      engineShares(service.models, demandShares(service, demand), engineCount);
  const auto backlog = [&](const InstanceRecord& record, const std::string& model) {
    const auto published = state.versions().find(model);
    const std::uint64_t newest = published == state.versions().end() ? 1 : published->second;
    const std::uint64_t held = reportedVersion(engines, record.id, model);
    return newest > held ? newest - held : 0;
  };
  // Without a recorded assignment, an engine is assigned to the model whose published version is
  // nearest to the version it holds, unless that model has its share already.
  for (const InstanceRecord* record : unassigned) {
    const auto key = [&](const auto& entry) {
      return std::tuple(!unknown && entry.second >= shares.at(entry.first),
                        backlog(*record, entry.first), entry.second);
    };
    const auto best = std::min_element(
        counts.begin(), counts.end(),
        [&](const auto& left, const auto& right) { return key(left) < key(right); });
    m_assignments[record->id] = best->first;
    ++best->second;
  }
  assignStarvedModels(engines, shares, counts);
  // A model without engines gets one even if demand is unknown.
  const bool empty = std::any_of(counts.begin(), counts.end(),
                                 [](const auto& entry) { return entry.second == 0; });
  if (!unknown || empty) {
    rebalanceOne(service, state, counts, shares, now);
  }
}

std::map<std::string, double> EngineAssigner::demandShares(
    const Service& service, const std::map<std::string, double>& demand) const {
  double work = 0;
  double items = 0;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    work += done == demand.end() ? 0.0 : done->second;
    items += m_requirements.openItems(model);
  }
  // Open items count as well: a model that lost its engines does no work and would otherwise never
  // get engines again.
  constexpr double kMinItemShare = 0.5;
  std::map<std::string, double> modelShares;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    const double modelWork = done == demand.end() ? 0.0 : done->second;
    const double equal = 1.0 / static_cast<double>(service.models.size());
    const double byWork = work < m_settings.minDemand ? equal : modelWork / work;
    const double byItems = items > 0 ? m_requirements.openItems(model) / items : 0.0;
    modelShares[model] = std::max(byWork, kMinItemShare * byItems);
  }
  return modelShares;
}

void EngineAssigner::assignStarvedModels(const ReportedEngines& engines,
                                         const std::map<std::string, std::size_t>& shares,
                                         std::map<std::string, std::size_t>& counts) {
  for (const auto& [model, share] : shares) {
    const std::size_t minEngines = share / 2;
    if (m_requirements.openItems(model) > 0 && counts[model] < minEngines) {
      reassignEngines(model, minEngines - counts[model], engines, shares, counts);
    }
  }
}

void EngineAssigner::reassignEngines(const std::string& model, std::size_t missing,
                                     const ReportedEngines& engines,
                                     const std::map<std::string, std::size_t>& shares,
                                     std::map<std::string, std::size_t>& counts) {
  std::vector<std::pair<std::uint64_t, EngineAssignments::iterator>> candidates;
  for (auto assignment = m_assignments.begin(); assignment != m_assignments.end(); ++assignment) {
    if (shares.contains(assignment->second) && assignment->second != model) {
      candidates.emplace_back(reportedVersion(engines, assignment->first, model), assignment);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  for (const auto& [version, assignment] : candidates) {
    std::size_t& from = counts[assignment->second];
    if (missing > 0 && from > shares.at(assignment->second)) {
      --from;
      assignment->second = model;
      ++counts[model];
      --missing;
    }
  }
}

bool EngineAssigner::isResponsive(const std::string& instance, const ReportedEngines& engines,
                                  base::TimePoint now) const {
  const auto engine = engines.find(instance);
  return engine != engines.end() && now - engine->second.lastSeenAt <= m_heartbeatTimeout;
}

std::map<std::string, std::size_t> EngineAssigner::requiredEngines(const Service& service,
                                                                   std::uint32_t slots) const {
  std::map<std::string, std::size_t> required;
  for (const std::string& model : service.models) {
    required[model] = m_requirements.enginesFor(model, slots);
  }
  return required;
}

void EngineAssigner::balanceStandby(const Service& service,
                                    const std::map<std::string, std::size_t>& required,
                                    const DirectoryState& state, const ReportedEngines& engines,
                                    base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, model] : m_assignments) {
    const auto record = state.instances().find(id);
    if (record->second.service == service.name && !record->second.draining &&
        isResponsive(id, engines, now)) {
      ++counts[model];
    }
  }
  for (const auto& [model, requiredCount] : required) {
    // Hysteresis: a model keeps up to a quarter more engines than required, so that they are not
    // assigned and released in turn.
    constexpr std::size_t kHysteresisDivisor = 4;
    if (counts[model] < requiredCount) {
      activateStandby(service, model, requiredCount - counts[model], state, engines, now);
    } else if (counts[model] > requiredCount + requiredCount / kHysteresisDivisor) {
      releaseToStandby(model, now);
    }
  }
}

void EngineAssigner::activateStandby(const Service& service, const std::string& model,
                                     std::size_t missing, const DirectoryState& state,
                                     const ReportedEngines& engines, base::TimePoint now) {
  struct Candidate {
    std::uint64_t version = 0;
    std::size_t rankInZone = 0;  ///< rank among the engines of this model in the zone
    const std::string* id = nullptr;
  };
  std::map<std::pair<std::uint64_t, std::string>, std::size_t> byZone;  // by version and zone
  std::map<std::string, std::size_t> assignedByZone;
  std::vector<Candidate> candidates;
  base::SortedCursor assignments(m_assignments);
  base::SortedCursor reports(engines);
  for (const auto& [id, record] : state.instances()) {
    const std::string* assignment = assignments.find(id);
    if (assignment != nullptr) {
      assignedByZone[record.zone] += *assignment == model ? 1 : 0;
      continue;
    }
    const ReportedEngine* report = reports.find(id);
    if (record.service != service.name || record.draining || report == nullptr ||
        now - report->lastSeenAt > m_heartbeatTimeout) {
      continue;
    }
    const std::uint64_t held = reportedVersion(*report, model);
    candidates.push_back({held, byZone[{held, record.zone}]++, &id});
  }
  for (Candidate& candidate : candidates) {
    candidate.rankInZone += assignedByZone[state.instances().at(*candidate.id).zone];
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return std::tuple(right.version, left.rankInZone) <
                            std::tuple(left.version, right.rankInZone);
                   });
  for (std::size_t i = 0; i < std::min(missing, candidates.size()); ++i) {
    m_assignments[*candidates[i].id] = model;
  }
}

void EngineAssigner::releaseToStandby(const std::string& model, base::TimePoint now) {
  if (now - m_reassignedAt < m_settings.reassignInterval) {
    return;
  }
  const auto last =
      std::find_if(m_assignments.begin(), m_assignments.end(),
                   [&](const auto& assignment) { return assignment.second == model; });
  if (last != m_assignments.end()) {
    m_assignments.erase(last);
    m_reassignedAt = now;
  }
}

void EngineAssigner::rebalanceOne(const Service& service, const DirectoryState& state,
                                  const std::map<std::string, std::size_t>& counts,
                                  const std::map<std::string, std::size_t>& shares,
                                  base::TimePoint now) {
  std::string from;
  std::string to;
  for (const auto& [model, count] : counts) {
    const auto share = shares.find(model);
    const std::size_t required = share == shares.end() ? 0 : share->second;
    from = count > required ? model : from;
    to = count < required ? model : to;
  }
  if (from.empty() || to.empty() || now - m_reassignedAt < m_settings.reassignInterval) {
    return;
  }
  for (auto& [id, model] : m_assignments) {
    const auto record = state.instances().find(id);
    if (model == from && record->second.service == service.name && !record->second.draining) {
      model = to;
      m_reassignedAt = now;
      return;
    }
  }
}

}  // namespace tackpick::directory
