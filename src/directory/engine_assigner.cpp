#include "directory/engine_assigner.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "base/sorted_cursor.h"

namespace tackpick::directory {
namespace {

/// Engines for each model: at least one while there are enough, the others in proportion to demand.
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
  for (std::size_t given = 0; given < engineCount; ++given) {
    // The next engine goes to the model that is furthest below its share.
    std::string neediest;
    double worst = 0;
    for (const auto& [model, weight] : weights) {
      const double fraction = total > 0 ? weight / total : equal;
      const double need = shares[model] == 0
                              ? engines + fraction
                              : fraction * engines - static_cast<double>(shares[model]);
      if (neediest.empty() || need > worst) {
        neediest = model;
        worst = need;
      }
    }
    ++shares[neediest];
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
  m_homes = std::move(assignments);
  m_servicesWithStandby.clear();
}

void EngineAssigner::assign(const DirectoryState& state, const ReportedEngines& engines,
                            const std::map<std::string, double>& demand, base::TimePoint now) {
  std::erase_if(m_homes, [&](const auto& home) { return !state.instances().contains(home.first); });
  m_engineCount = 0;
  for (const Service& service : state.configuration().services) {
    if (!service.models.empty()) {
      assignOf(service, state, engines, demand, now);
    }
  }
}

void EngineAssigner::assignOf(const Service& service, const DirectoryState& state,
                              const ReportedEngines& engines,
                              const std::map<std::string, double>& demand, base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& model : service.models) {
    counts[model] = 0;
  }
  std::vector<const InstanceRecord*> unassigned;
  std::size_t engineCount = 0;
  std::size_t totalSlots = 0;
  base::SortedCursor assignments(m_homes);
  for (const auto& [id, record] : state.instances()) {
    if (record.service != service.name || record.draining) {
      continue;
    }
    ++engineCount;
    totalSlots += record.slots;
    const std::string* home = assignments.find(id);
    if (home != nullptr && counts.contains(*home)) {
      ++counts[*home];
    } else {
      unassigned.push_back(&record);
    }
  }
  m_engineCount += engineCount;
  const std::size_t slots = engineCount == 0 ? 1 : totalSlots / engineCount;
  const auto wanted = requiredEngines(service, static_cast<std::uint32_t>(slots));
  const std::size_t wantedOfAll =
      std::accumulate(wanted.begin(), wanted.end(), std::size_t{0},
                      [](std::size_t sum, const auto& model) { return sum + model.second; });
  if (wantedOfAll < engineCount) {
    m_servicesWithStandby.insert(service.name);
    balanceStandby(service, wanted, state, engines, now);
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
      engineShares(service.models, askedOf(service, demand), engineCount);
  const auto backlog = [&](const InstanceRecord& record, const std::string& model) {
    const auto published = state.versions().find(model);
    const std::uint64_t newest = published == state.versions().end() ? 1 : published->second;
    const std::uint64_t held = reportedVersion(engines, record.id, model);
    return newest > held ? newest - held : 0;
  };
  // A new leader finds each engine's home in what the engine holds: the model nearest to its
  // published version, as long as that model has not had its share.
  for (const InstanceRecord* record : unassigned) {
    const auto key = [&](const auto& entry) {
      return std::tuple(!unknown && entry.second >= shares.at(entry.first),
                        backlog(*record, entry.first), entry.second);
    };
    const auto best = std::min_element(
        counts.begin(), counts.end(),
        [&](const auto& left, const auto& right) { return key(left) < key(right); });
    m_homes[record->id] = best->first;
    ++best->second;
  }
  feedStarved(engines, shares, counts);
  // A model without any engine gets one in any case.
  const bool empty = std::any_of(counts.begin(), counts.end(),
                                 [](const auto& entry) { return entry.second == 0; });
  if (!unknown || empty) {
    rebalanceOne(service, state, counts, shares, now);
  }
}

std::map<std::string, double> EngineAssigner::askedOf(
    const Service& service, const std::map<std::string, double>& demand) const {
  double work = 0;
  double items = 0;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    work += done == demand.end() ? 0.0 : done->second;
    items += m_wanted.openItems(model);
  }
  // Work done alone would starve a model that lost its engines: without them it does no work, and
  // without work it gets no engines.
  constexpr double kMinOfItems = 0.5;
  std::map<std::string, double> asked;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    const double doneHere = done == demand.end() ? 0.0 : done->second;
    const double equal = 1.0 / static_cast<double>(service.models.size());
    const double byWork = work < m_settings.minDemand ? equal : doneHere / work;
    const double byItems = items > 0 ? m_wanted.openItems(model) / items : 0.0;
    asked[model] = std::max(byWork, kMinOfItems * byItems);
  }
  return asked;
}

void EngineAssigner::feedStarved(const ReportedEngines& engines,
                                 const std::map<std::string, std::size_t>& shares,
                                 std::map<std::string, std::size_t>& counts) {
  for (const auto& [model, share] : shares) {
    const std::size_t least = share / 2;
    if (m_wanted.openItems(model) > 0 && counts[model] < least) {
      reassignEngines(model, least - counts[model], engines, shares, counts);
    }
  }
}

void EngineAssigner::reassignEngines(const std::string& model, std::size_t missing,
                                     const ReportedEngines& engines,
                                     const std::map<std::string, std::size_t>& shares,
                                     std::map<std::string, std::size_t>& counts) {
  std::vector<std::pair<std::uint64_t, EngineAssignments::iterator>> candidates;
  for (auto home = m_homes.begin(); home != m_homes.end(); ++home) {
    if (shares.contains(home->second) && home->second != model) {
      candidates.emplace_back(reportedVersion(engines, home->first, model), home);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  for (const auto& [version, home] : candidates) {
    std::size_t& from = counts[home->second];
    if (missing > 0 && from > shares.at(home->second)) {
      --from;
      home->second = model;
      ++counts[model];
      --missing;
    }
  }
}

bool EngineAssigner::isHeard(const std::string& instance, const ReportedEngines& engines,
                             base::TimePoint now) const {
  const auto engine = engines.find(instance);
  return engine != engines.end() && now - engine->second.lastSeenAt <= m_silenceLimit;
}

std::map<std::string, std::size_t> EngineAssigner::requiredEngines(const Service& service,
                                                                   std::uint32_t slots) const {
  std::map<std::string, std::size_t> wanted;
  for (const std::string& model : service.models) {
    wanted[model] = m_wanted.of(model, slots);
  }
  return wanted;
}

void EngineAssigner::balanceStandby(const Service& service,
                                    const std::map<std::string, std::size_t>& wanted,
                                    const DirectoryState& state, const ReportedEngines& engines,
                                    base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, model] : m_homes) {
    const auto record = state.instances().find(id);
    if (record->second.service == service.name && !record->second.draining &&
        isHeard(id, engines, now)) {
      ++counts[model];
    }
  }
  for (const auto& [model, most] : wanted) {
    // Some more than are wanted may stay, so that a model does not give and take in turn.
    constexpr std::size_t kQuarter = 4;
    if (counts[model] < most) {
      activateStandby(service, model, most - counts[model], state, engines, now);
    } else if (counts[model] > most + most / kQuarter) {
      releaseToStandby(model, now);
    }
  }
}

void EngineAssigner::activateStandby(const Service& service, const std::string& model,
                                     std::size_t missing, const DirectoryState& state,
                                     const ReportedEngines& engines, base::TimePoint now) {
  struct Candidate {
    std::uint64_t version = 0;
    std::size_t inZone = 0;  ///< engines of this model there, with those before it
    const std::string* id = nullptr;
  };
  std::map<std::pair<std::uint64_t, std::string>, std::size_t> byZone;  // of one version
  std::map<std::string, std::size_t> assignedByZone;
  std::vector<Candidate> candidates;
  base::SortedCursor assignments(m_homes);
  base::SortedCursor reports(engines);
  for (const auto& [id, record] : state.instances()) {
    const std::string* home = assignments.find(id);
    if (home != nullptr) {
      assignedByZone[record.zone] += *home == model ? 1 : 0;
      continue;
    }
    const ReportedEngine* report = reports.find(id);
    if (record.service != service.name || record.draining || report == nullptr ||
        now - report->lastSeenAt > m_silenceLimit) {
      continue;
    }
    const std::uint64_t held = reportedVersion(*report, model);
    candidates.push_back({held, byZone[{held, record.zone}]++, &id});
  }
  for (Candidate& candidate : candidates) {
    candidate.inZone += assignedByZone[state.instances().at(*candidate.id).zone];
  }
  std::stable_sort(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(right.version, left.inZone) < std::tuple(left.version, right.inZone);
      });
  for (std::size_t i = 0; i < std::min(missing, candidates.size()); ++i) {
    m_homes[*candidates[i].id] = model;
  }
}

void EngineAssigner::releaseToStandby(const std::string& model, base::TimePoint now) {
  if (now - m_movedAt < m_settings.moveInterval) {
    return;
  }
  const auto last = std::find_if(m_homes.begin(), m_homes.end(),
                                 [&](const auto& home) { return home.second == model; });
  if (last != m_homes.end()) {
    m_homes.erase(last);
    m_movedAt = now;
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
    const std::size_t wanted = share == shares.end() ? 0 : share->second;
    from = count > wanted ? model : from;
    to = count < wanted ? model : to;
  }
  if (from.empty() || to.empty() || now - m_movedAt < m_settings.moveInterval) {
    return;
  }
  for (auto& [id, model] : m_homes) {
    const auto record = state.instances().find(id);
    if (model == from && record->second.service == service.name && !record->second.draining) {
      model = to;
      m_movedAt = now;
      return;
    }
  }
}

}  // namespace tackpick::directory
