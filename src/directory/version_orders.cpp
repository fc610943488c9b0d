#include "directory/version_orders.h"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "base/sorted_cursor.h"

namespace tackpick::directory {
namespace {

std::uint64_t versionOf(const std::map<std::string, ReportedEngine>& engines,
                        const std::string& instance, const std::string& model) {
  const auto engine = engines.find(instance);
  if (engine == engines.end()) {
    return 0;
  }
  const auto version = engine->second.versions.find(model);
  return version == engine->second.versions.end() ? 0 : version->second;
}

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

std::string_view toString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kTaken:
      return "taken";
    case OrderOutcome::kHolds:
      return "holds";
    case OrderOutcome::kBusy:
      return "busy";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUncertain:
      return "uncertain";
  }
  return "unknown";
}

void VersionOrders::reset(base::TimePoint ordersFrom, Homes homes) {
  orders_from_ = ordersFrom;
  homes_ = std::move(homes);
  m_reserving.clear();
  published_.clear();
  given_.clear();
}

void VersionOrders::assignHomes(const DirectoryState& state,
                                const std::map<std::string, ReportedEngine>& engines,
                                const std::map<std::string, double>& demand, base::TimePoint now) {
  std::erase_if(homes_, [&](const auto& home) { return !state.instances().contains(home.first); });
  std::erase_if(given_,
                [&](const auto& given) { return !state.instances().contains(given.first); });
  m_engineCount = 0;
  for (const Service& service : state.configuration().services) {
    if (!service.models.empty()) {
      assignHomesOf(service, state, engines, demand, now);
    }
  }
}

void VersionOrders::assignHomesOf(const Service& service, const DirectoryState& state,
                                  const std::map<std::string, ReportedEngine>& engines,
                                  const std::map<std::string, double>& demand,
                                  base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const std::string& model : service.models) {
    counts[model] = 0;
  }
  std::vector<const InstanceRecord*> homeless;
  std::size_t engineCount = 0;
  std::size_t places = 0;
  base::SortedCursor homes(homes_);
  for (const auto& [id, record] : state.instances()) {
    if (record.service != service.name || record.leaving) {
      continue;
    }
    ++engineCount;
    places += record.slots;
    const std::string* home = homes.find(id);
    if (home != nullptr && counts.contains(*home)) {
      ++counts[*home];
    } else {
      homeless.push_back(&record);
    }
  }
  m_engineCount += engineCount;
  const std::size_t slots = engineCount == 0 ? 1 : places / engineCount;
  const auto wanted = enginesWanted(service, static_cast<std::uint32_t>(slots));
  const std::size_t wantedOfAll =
      std::accumulate(wanted.begin(), wanted.end(), std::size_t{0},
                      [](std::size_t sum, const auto& model) { return sum + model.second; });
  if (wantedOfAll < engineCount) {
    m_reserving.insert(service.name);
    assignFromReserve(service, wanted, state, engines, now);
    return;
  }
  m_reserving.erase(service.name);
  double known = 0;
  for (const std::string& model : service.models) {
    const auto work = demand.find(model);
    known += work == demand.end() ? 0.0 : work->second;
  }
  const bool unknown = known < settings_.leastDemand;
  const std::map<std::string, std::size_t> shares =
      engineShares(service.models, askedOf(service, demand), engineCount);
  const auto backlog = [&](const InstanceRecord& record, const std::string& model) {
    const auto published = state.versions().find(model);
    const std::uint64_t newest = published == state.versions().end() ? 1 : published->second;
    const std::uint64_t held = versionOf(engines, record.id, model);
    return newest > held ? newest - held : 0;
  };
  // A new leader finds each engine's home in what the engine holds: the model nearest to its
  // published version, as long as that model has not had its share.
  for (const InstanceRecord* record : homeless) {
    const auto key = [&](const auto& entry) {
      return std::tuple(!unknown && entry.second >= shares.at(entry.first),
                        backlog(*record, entry.first), entry.second);
    };
    const auto best = std::min_element(
        counts.begin(), counts.end(),
        [&](const auto& left, const auto& right) { return key(left) < key(right); });
    homes_[record->id] = best->first;
    ++best->second;
  }
  feedStarved(engines, shares, counts);
  // A model without any engine gets one in any case.
  const bool empty = std::any_of(counts.begin(), counts.end(),
                                 [](const auto& entry) { return entry.second == 0; });
  if (!unknown || empty) {
    moveOneHome(service, state, counts, shares, now);
  }
}

std::map<std::string, double> VersionOrders::askedOf(
    const Service& service, const std::map<std::string, double>& demand) const {
  double work = 0;
  double items = 0;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    work += done == demand.end() ? 0.0 : done->second;
    items += m_wanted.openItems(model);
  }
  // Work done alone would starve a model that lost its engines: without them it does no work, and
  // without work it gets no engines. One such day lost eleven seconds of each of its steps.
  constexpr double kLeastOfItems = 0.5;
  std::map<std::string, double> asked;
  for (const std::string& model : service.models) {
    const auto done = demand.find(model);
    const double doneHere = done == demand.end() ? 0.0 : done->second;
    const double equal = 1.0 / static_cast<double>(service.models.size());
    const double byWork = work < settings_.leastDemand ? equal : doneHere / work;
    const double byItems = items > 0 ? m_wanted.openItems(model) / items : 0.0;
    asked[model] = std::max(byWork, kLeastOfItems * byItems);
  }
  return asked;
}

void VersionOrders::feedStarved(const std::map<std::string, ReportedEngine>& engines,
                                const std::map<std::string, std::size_t>& shares,
                                std::map<std::string, std::size_t>& counts) {
  for (const auto& [model, share] : shares) {
    const std::size_t least = share / 2;
    if (m_wanted.openItems(model) > 0 && counts[model] < least) {
      moveHomes(model, least - counts[model], engines, shares, counts);
    }
  }
}

void VersionOrders::moveHomes(const std::string& model, std::size_t missing,
                              const std::map<std::string, ReportedEngine>& engines,
                              const std::map<std::string, std::size_t>& shares,
                              std::map<std::string, std::size_t>& counts) {
  std::vector<std::pair<std::uint64_t, Homes::iterator>> candidates;
  for (auto home = homes_.begin(); home != homes_.end(); ++home) {
    if (shares.contains(home->second) && home->second != model) {
      candidates.emplace_back(versionOf(engines, home->first, model), home);
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

bool VersionOrders::isHeard(const std::string& instance,
                            const std::map<std::string, ReportedEngine>& engines,
                            base::TimePoint now) const {
  const auto engine = engines.find(instance);
  return engine != engines.end() && now - engine->second.heardAt <= settings_.silenceLimit;
}

std::map<std::string, std::size_t> VersionOrders::enginesWanted(const Service& service,
                                                                std::uint32_t slots) const {
  std::map<std::string, std::size_t> wanted;
  for (const std::string& model : service.models) {
    wanted[model] = m_wanted.of(model, slots);
  }
  return wanted;
}

void VersionOrders::assignFromReserve(const Service& service,
                                      const std::map<std::string, std::size_t>& wanted,
                                      const DirectoryState& state,
                                      const std::map<std::string, ReportedEngine>& engines,
                                      base::TimePoint now) {
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, model] : homes_) {
    const auto record = state.instances().find(id);
    if (record->second.service == service.name && !record->second.leaving &&
        isHeard(id, engines, now)) {
      ++counts[model];
    }
  }
  for (const auto& [model, most] : wanted) {
    // Some more than are wanted may stay, so that a model does not give and take in turn.
    constexpr std::size_t kQuarter = 4;
    if (counts[model] < most) {
      takeFromReserve(service, model, most - counts[model], state, engines, now);
    } else if (counts[model] > most + most / kQuarter) {
      giveToReserve(model, now);
    }
  }
}

void VersionOrders::takeFromReserve(const Service& service, const std::string& model,
                                    std::size_t missing, const DirectoryState& state,
                                    const std::map<std::string, ReportedEngine>& engines,
                                    base::TimePoint now) {
  struct Candidate {
    std::uint64_t version = 0;
    std::size_t inZone = 0;  ///< engines of this model there, with those before it
    const std::string* id = nullptr;
  };
  std::map<std::pair<std::uint64_t, std::string>, std::size_t> byZone;  // of one version
  std::map<std::string, std::size_t> homesByZone;
  std::vector<Candidate> candidates;
  base::SortedCursor homes(homes_);
  base::SortedCursor reports(engines);
  for (const auto& [id, record] : state.instances()) {
    const std::string* home = homes.find(id);
    if (home != nullptr) {
      homesByZone[record.zone] += *home == model ? 1 : 0;
      continue;
    }
    const ReportedEngine* report = reports.find(id);
    if (record.service != service.name || record.leaving || report == nullptr ||
        now - report->heardAt > settings_.silenceLimit) {
      continue;
    }
    const auto version = report->versions.find(model);
    const std::uint64_t held = version == report->versions.end() ? 0 : version->second;
    candidates.push_back({held, byZone[{held, record.zone}]++, &id});
  }
  for (Candidate& candidate : candidates) {
    candidate.inZone += homesByZone[state.instances().at(*candidate.id).zone];
  }
  std::stable_sort(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(right.version, left.inZone) < std::tuple(left.version, right.inZone);
      });
  for (std::size_t i = 0; i < std::min(missing, candidates.size()); ++i) {
    homes_[*candidates[i].id] = model;
  }
}

void VersionOrders::giveToReserve(const std::string& model, base::TimePoint now) {
  if (now - moved_at_ < settings_.moveInterval) {
    return;
  }
  const auto last = std::find_if(homes_.begin(), homes_.end(),
                                 [&](const auto& home) { return home.second == model; });
  if (last != homes_.end()) {
    homes_.erase(last);
    moved_at_ = now;
  }
}

void VersionOrders::moveOneHome(const Service& service, const DirectoryState& state,
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
  if (from.empty() || to.empty() || now - moved_at_ < settings_.moveInterval) {
    return;
  }
  for (auto& [id, model] : homes_) {
    const auto record = state.instances().find(id);
    if (model == from && record->second.service == service.name && !record->second.leaving) {
      model = to;
      moved_at_ = now;
      return;
    }
  }
}

bool VersionOrders::isLoading(const std::string& instance,
                              const std::map<std::string, ReportedEngine>& engines,
                              base::TimePoint now) const {
  const auto given = given_.find(instance);
  return given != given_.end() && now < given->second.loadingUntil &&
         versionOf(engines, instance, given->second.model) < given->second.version;
}

std::map<std::string, VersionOrders::ModelLoad> VersionOrders::loadByModel(
    const std::map<std::string, ReportedEngine>& engines, base::TimePoint now) const {
  std::map<std::string, ModelLoad> loads;
  for (const auto& [instance, model] : homes_) {
    ModelLoad& load = loads[model];
    ++load.engines;
    load.loading += isLoading(instance, engines, now) ? 1 : 0;
  }
  return loads;
}

void VersionOrders::notePublished(const DirectoryState& state, base::TimePoint now) {
  for (const auto& [model, version] : state.versions()) {
    Published& published = published_[model];
    if (published.version != version) {
      published = {version, now};
    }
  }
}

bool VersionOrders::isDue(const std::string& model, std::uint64_t held, std::uint64_t published,
                          base::TimePoint now) const {
  return held + 1 < published || now - published_.at(model).seenAt >= settings_.settlingTime;
}

bool VersionOrders::mayOrder(const InstanceRecord& record,
                             const std::map<std::string, ReportedEngine>& engines,
                             base::TimePoint now) const {
  const auto engine = engines.find(record.id);
  if (record.leaving || engine == engines.end() ||
      now - engine->second.heardAt > settings_.silenceLimit) {
    return false;
  }
  const auto given = given_.find(record.id);
  return given == given_.end() || now >= given->second.retryAt ||
         versionOf(engines, record.id, given->second.model) >= given->second.version;
}

std::vector<const InstanceRecord*> VersionOrders::oldestVersionFirst(
    const DirectoryState& state, const std::map<std::string, ReportedEngine>& engines) const {
  struct Ranked {
    base::TimePoint publishedAt{};
    std::uint64_t held = 0;
    const InstanceRecord* record = nullptr;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(homes_.size());
  for (const auto& [id, model] : homes_) {
    const InstanceRecord& record = state.instances().at(id);
    const auto published = published_.find(model);
    if (published == published_.end()) {
      ranked.push_back({{}, 0, &record});
    } else {
      ranked.push_back({published->second.seenAt, versionOf(engines, id, model), &record});
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return std::tuple(left.publishedAt, left.held) < std::tuple(right.publishedAt, right.held);
  });
  std::vector<const InstanceRecord*> records;
  records.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    records.push_back(entry.record);
  }
  return records;
}

std::vector<std::string> VersionOrders::dueReports(
    const std::map<std::string, ReportedEngine>& engines, base::TimePoint now) {
  std::vector<std::string> due;
  for (auto& [instance, given] : given_) {
    if (isLoading(instance, engines, now) && now >= given.reportAt) {
      given.reportAt = now + settings_.reportInterval;
      due.push_back(instance);
    }
  }
  return due;
}

std::size_t VersionOrders::mostLoads() const {
  constexpr std::size_t kWholePercent = 100;
  const std::size_t share =
      (m_engineCount * static_cast<std::size_t>(settings_.concurrentPercent) + kWholePercent / 2) /
      kWholePercent;
  return std::max(settings_.concurrentLoads, share);
}

std::vector<VersionOrder> VersionOrders::step(const DirectoryState& state,
                                              const std::map<std::string, ReportedEngine>& engines,
                                              const std::map<std::string, double>& demand,
                                              std::uint64_t term, base::TimePoint now) {
  std::vector<VersionOrder> orders;
  notePublished(state, now);
  assignHomes(state, engines, demand, now);
  if (now < orders_from_) {
    return orders;
  }
  std::map<std::string, ModelLoad> loads = loadByModel(engines, now);
  std::size_t running = 0;
  for (const auto& [model, load] : loads) {
    running += load.loading;
  }
  for (const InstanceRecord* candidate : oldestVersionFirst(state, engines)) {
    const InstanceRecord& record = *candidate;
    const std::string& id = record.id;
    const auto home = homes_.find(id);
    if (running >= mostLoads() || home == homes_.end()) {
      continue;
    }
    const auto published = state.versions().find(home->second);
    const std::uint64_t held = versionOf(engines, id, home->second);
    if (published == state.versions().end() || held >= published->second ||
        !isDue(home->second, held, published->second, now) || !mayOrder(record, engines, now)) {
      continue;
    }
    constexpr std::size_t kWholePercent = 100;
    ModelLoad& load = loads[home->second];
    const std::size_t most =
        (load.engines * static_cast<std::size_t>(settings_.loadingPercent) + kWholePercent - 1) /
        kWholePercent;
    if (load.loading >= most) {
      continue;
    }
    if (findService(state.configuration(), record.service) == nullptr) {
      continue;
    }
    VersionOrder order{id,
                       record.host,
                       record.port,
                       home->second,
                       published->second,
                       term,
                       wantsSingleVersion(state.configuration(), record.service)};
    given_[id] = {order.model, order.version, now + settings_.orderTimeout,
                  now + settings_.orderTimeout, now + settings_.firstReport};
    orders.push_back(std::move(order));
    ++running;
    ++load.loading;
  }
  return orders;
}

void VersionOrders::onOutcome(const VersionOrder& order, OrderOutcome outcome,
                              base::TimePoint now) {
  const auto found = given_.find(order.instance);
  if (found == given_.end() || found->second.version != order.version ||
      found->second.model != order.model) {
    return;
  }
  constexpr base::Duration kBusyRetry = base::milliseconds(700);
  constexpr base::Duration kRefusedRetry = base::seconds(2);
  if (outcome == OrderOutcome::kBusy) {
    found->second.retryAt = now + kBusyRetry;
    found->second.loadingUntil = found->second.retryAt;
  } else if (outcome == OrderOutcome::kRefused) {
    found->second.retryAt = now + kRefusedRetry;
    found->second.loadingUntil = now;
  } else if (outcome == OrderOutcome::kUncertain) {
    found->second.loadingUntil = now + settings_.uncertainLoad;
  }
}

}  // namespace tackpick::directory
