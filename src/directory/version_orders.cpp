#include "directory/version_orders.h"

#include <algorithm>
#include <tuple>

#include "base/sorted_cursor.h"

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
  m_homes.reset(std::move(homes));
  published_.clear();
  given_.clear();
}

void VersionOrders::noteOpenWork(const jobs::OpenWorks& works, base::TimePoint now) {
  OpenItems items;
  for (const auto& [model, open] : works) {
    items[model] = jobs::itemsOf(open);
  }
  m_homes.note(items, now);
}

bool VersionOrders::isLoading(const std::string& instance, const ReportedEngines& engines,
                              base::TimePoint now) const {
  const auto given = given_.find(instance);
  return given != given_.end() && now < given->second.loadingUntil &&
         versionOf(engines, instance, given->second.model) < given->second.version;
}

std::map<std::string, VersionOrders::ModelLoad> VersionOrders::loadByModel(
    const ReportedEngines& engines, base::TimePoint now) const {
  std::map<std::string, ModelLoad> loads;
  for (const auto& [instance, model] : homes()) {
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

bool VersionOrders::mayOrder(const InstanceRecord& record, const ReportedEngines& engines,
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
    const DirectoryState& state, const ReportedEngines& engines) const {
  struct Ranked {
    base::TimePoint publishedAt{};
    std::uint64_t held = 0;
    const InstanceRecord* record = nullptr;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(homes().size());
  for (const auto& [id, model] : homes()) {
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

std::vector<std::string> VersionOrders::dueReports(const ReportedEngines& engines,
                                                   base::TimePoint now) {
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
      (m_homes.engineCount() * static_cast<std::size_t>(settings_.concurrentPercent) +
       kWholePercent / 2) /
      kWholePercent;
  return std::max(settings_.concurrentLoads, share);
}

std::vector<VersionOrder> VersionOrders::step(const DirectoryState& state,
                                              const ReportedEngines& engines,
                                              const std::map<std::string, double>& demand,
                                              std::uint64_t term, base::TimePoint now) {
  std::vector<VersionOrder> orders;
  notePublished(state, now);
  std::erase_if(given_,
                [&](const auto& given) { return !state.instances().contains(given.first); });
  m_homes.assign(state, engines, demand, now);
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
    const auto home = homes().find(id);
    if (running >= mostLoads() || home == homes().end()) {
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
