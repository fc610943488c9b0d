#include "forwarding/instance_table.h"

#include <algorithm>

#include "base/random.h"
#include "directory/incarnation.h"
#include "jobs/engine_cost.h"

namespace tackpick::forwarding {
namespace {

/// Maximum age of load reports.
constexpr base::Duration kLoadMaxAge = base::milliseconds(800);
/// Maximum age of a reported slowdown, which changes quickly.
constexpr base::Duration kSlowdownMaxAge = base::milliseconds(200);
constexpr double kLatencySmoothing = 0.2;
constexpr double kIntervalSmoothing = 0.15;
/// Smoothing of the interval reported to the ledgers, which average it over gateways.
constexpr double kRecentIntervalSmoothing = 0.3;
/// Age after which an event interval is replaced by the next sample rather than averaged with it.
constexpr base::Duration kIntervalMaxAge = base::seconds(2);
/// Cost of an instance in another zone, as a number of additional requests.
constexpr double kCrossZonePenalty = 0.4;

/// Whether the instance's slots count as available for leased items.
bool acceptsWork(const InstanceEntry& entry) {
  return !entry.record.draining && !entry.isRemoved && !entry.standby && entry.record.slots > 0;
}

}  // namespace

std::string_view toString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return "served";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kConnectFailed:
      return "unreached";
    case AttemptOutcome::kRejected:
      return "full";
    case AttemptOutcome::kWrongInstance:
      return "gone";
    case AttemptOutcome::kCancelled:
      return "abandoned";
  }
  return "unknown";
}

std::uint64_t InstanceEntry::version(const std::string& model) const {
  const auto found = versions.find(model);
  return found == versions.end() ? 0 : found->second;
}

void InstanceTable::replaceAll(const std::vector<directory::InstanceView>& view) {
  std::set<std::string> presentIds;
  for (const directory::InstanceView& instance : view) {
    presentIds.insert(instance.record.id);
    upsert(instance);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!presentIds.contains(id)) {
      missing.push_back(id);
    }
  }
  std::for_each(missing.begin(), missing.end(), [&](const std::string& id) { remove(id); });
  purgeRemoved();
}

void InstanceTable::applyChanges(const std::vector<directory::InstanceView>& changed,
                                 const std::vector<std::string>& removed) {
  std::for_each(removed.begin(), removed.end(), [&](const std::string& id) { remove(id); });
  for (const directory::InstanceView& instance : changed) {
    upsert(instance);
  }
  purgeRemoved();
}

void InstanceTable::upsert(const directory::InstanceView& instance) {
  const auto [it, added] = m_entries.try_emplace(instance.record.id);
  InstanceEntry& entry = it->second;
  if (added) {
    retirePreviousIncarnations(instance.record.id, entry);
    entry.subsetHash = base::hashBytes(m_settings.gateway + "/" + instance.record.id);
  } else {
    removeSlots(entry);
    m_byService[entry.record.service].erase(instance.record.id);
  }
  if (m_removed.erase(instance.record.id) > 0) {
    entry.isRemoved = false;
  }
  const bool draining = entry.record.draining || instance.record.draining;
  entry.record = instance.record;
  entry.record.draining = draining;
  entry.unresponsive = instance.unresponsive;
  entry.loading = instance.loading;
  entry.standby = instance.standby;
  for (const auto& [model, version] : instance.versions) {
    std::uint64_t& knownVersion = entry.versions[model];
    knownVersion = std::max(knownVersion, version);
  }
  m_byService[entry.record.service][instance.record.id] = &entry;
  addSlots(entry);
}

void InstanceTable::retirePreviousIncarnations(const std::string& id, InstanceEntry& successor) {
  const std::string name = directory::instanceName(id);
  const auto withoutIncarnation = m_entries.find(name);
  if (id != name && withoutIncarnation != m_entries.end()) {
    retire(withoutIncarnation->second, successor);
  }
  for (auto it = m_entries.lower_bound(directory::firstKey(name));
       it != m_entries.end() && it->first < id; ++it) {
    retire(it->second, successor);
  }
  if (successor.eventIntervalMs > 0) {
    m_measured.insert(id);
  }
}

void InstanceTable::retire(InstanceEntry& previous, InstanceEntry& successor) {
  previous.restarted = true;
  if (previous.eventIntervalMs > 0) {
    successor.eventIntervalMs = previous.eventIntervalMs;
    successor.recentEventIntervalMs = previous.recentEventIntervalMs;
    successor.eventIntervalAt = previous.eventIntervalAt;
  }
}

bool InstanceTable::hasRestarted(const std::string& id) const {
  const InstanceEntry* entry = find(id);
  return entry != nullptr && entry->restarted;
}

void InstanceTable::remove(const std::string& id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  removeSlots(found->second);
  found->second.isRemoved = true;
  m_removed.insert(id);
}

void InstanceTable::purgeRemoved() {
  std::erase_if(m_removed, [&](const std::string& id) {
    const auto found = m_entries.find(id);
    if (found->second.inFlight > 0) {
      return false;
    }
    m_measured.erase(id);
    m_byService[found->second.record.service].erase(id);
    m_entries.erase(found);
    return true;
  });
}

const std::map<std::string, InstanceEntry*>& InstanceTable::instancesOf(
    const std::string& service) const {
  static const std::map<std::string, InstanceEntry*> kNone;
  const auto found = m_byService.find(service);
  return found == m_byService.end() ? kNone : found->second;
}

void InstanceTable::addSlots(const InstanceEntry& entry) {
  if (!acceptsWork(entry)) {
    return;
  }
  for (const auto& [model, version] : entry.versions) {
    m_slots[entry.record.service][model][version] += entry.record.slots;
  }
}

void InstanceTable::removeSlots(const InstanceEntry& entry) {
  if (!acceptsWork(entry)) {
    return;
  }
  for (const auto& [model, version] : entry.versions) {
    SlotsByVersion& slots = m_slots[entry.record.service][model];
    const auto found = slots.find(version);
    found->second -= entry.record.slots;
    if (found->second == 0) {
      slots.erase(found);
    }
  }
}

bool InstanceTable::serves(const InstanceEntry& entry, const InstanceRequirements& requirements) {
  return entry.record.service == requirements.service && !entry.record.draining &&
         !entry.isRemoved &&
         (requirements.model.empty() ||
          entry.version(requirements.model) >= requirements.minimumVersion);
}

double InstanceTable::activeRequests(const InstanceEntry& entry, base::TimePoint now) {
  const double reported =
      now - entry.loadAt < kLoadMaxAge ? entry.load.running + entry.load.waiting : 0.0;
  const double inCluster = now - entry.clusterLoadAt < kLoadMaxAge ? entry.clusterLoad : 0.0;
  return std::max({static_cast<double>(entry.inFlight), reported, inCluster});
}

double InstanceTable::slowdown(const InstanceEntry& entry, base::TimePoint now) {
  constexpr double kNormalPercent = 100.0;
  const bool fresh = now - entry.loadAt < kSlowdownMaxAge;
  return fresh ? entry.load.slowdownPercent / kNormalPercent : 1.0;
}

double InstanceTable::cost(const InstanceEntry& entry, const InstanceRequirements& requirements,
                           base::TimePoint now) const {
  const double slots = std::max<double>(1.0, entry.record.slots);
  const double occupancyRatio = (activeRequests(entry, now) + 1.0) / slots;
  if (requirements.model.empty()) {
    const double zonePenalty =
        entry.record.zone != m_settings.zone ? kCrossZonePenalty / slots : 0.0;
    constexpr double kUnknownLatencyMs = 10.0;
    return (occupancyRatio + zonePenalty) * slowdown(entry, now) *
           (entry.latencyMs > 0 ? entry.latencyMs : kUnknownLatencyMs);
  }
  return jobs::engineCost(entry.eventIntervalMs, occupancyRatio);
}

bool InstanceTable::isEligible(const InstanceEntry& entry, const InstanceRequirements& requirements,
                               base::TimePoint now) {
  const bool isLoading = entry.loading && !requirements.model.empty();
  return serves(entry, requirements) && !isLoading && now >= entry.ejectedUntil;
}

bool InstanceTable::hasFreeSlot(const InstanceEntry& entry, base::TimePoint now) {
  return activeRequests(entry, now) + 1 <= entry.record.slots;
}

bool InstanceTable::isUsable(const std::string& id, const InstanceRequirements& requirements,
                             base::TimePoint now) const {
  const InstanceEntry* entry = find(id);
  return entry != nullptr && isEligible(*entry, requirements, now);
}

void InstanceTable::onSent(const std::string& id) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    ++found->second.inFlight;
  }
}

void InstanceTable::onEnded(const std::string& id, AttemptOutcome outcome, base::Duration took,
                            base::TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  InstanceEntry& entry = found->second;
  entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
  switch (outcome) {
    case AttemptOutcome::kSucceeded: {
      const double sample = base::toMilliseconds(took);
      entry.latencyMs = entry.latencyMs > 0
                            ? entry.latencyMs + kLatencySmoothing * (sample - entry.latencyMs)
                            : sample;
      entry.failures = 0;
      break;
    }
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kConnectFailed: {
      const unsigned doublings = std::min(entry.failures, 4U);
      ++entry.failures;
      entry.ejectedUntil =
          now + std::min(m_settings.ejectionTime * (1U << doublings), m_settings.maxEjection);
      break;
    }
    case AttemptOutcome::kRejected:
      entry.ejectedUntil =
          std::max(entry.ejectedUntil, now + (activeRequests(entry, now) < entry.record.slots
                                                  ? m_settings.loadingBackoff
                                                  : m_settings.rejectionBackoff));
      break;
    case AttemptOutcome::kWrongInstance:
      removeSlots(entry);
      entry.isRemoved = true;
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

void InstanceTable::onEventInterval(const std::string& id, base::Duration interval,
                                    base::TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.loading) {
    return;
  }
  InstanceEntry& entry = found->second;
  const double sample = base::toMilliseconds(interval);
  entry.eventIntervalMs =
      entry.eventIntervalMs > 0
          ? entry.eventIntervalMs + kIntervalSmoothing * (sample - entry.eventIntervalMs)
          : sample;
  const bool recent =
      entry.recentEventIntervalMs > 0 && now - entry.eventIntervalAt <= kIntervalMaxAge;
  entry.recentEventIntervalMs =
      recent ? entry.recentEventIntervalMs +
                   kRecentIntervalSmoothing * (sample - entry.recentEventIntervalMs)
             : sample;
  entry.eventIntervalAt = now;
  m_measured.insert(id);
}

void InstanceTable::onLoad(const std::string& id, const ReportedLoad& load, base::TimePoint now) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    found->second.load = load;
    found->second.loadAt = now;
  }
}

void InstanceTable::onClusterLoad(const std::string& id, std::uint32_t items, base::TimePoint now) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    found->second.clusterLoad = items;
    found->second.clusterLoadAt = now;
  }
}

void InstanceTable::onVersion(const std::string& id, const std::string& model,
                              std::uint64_t version) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && found->second.version(model) < version) {
    removeSlots(found->second);
    found->second.versions[model] = version;
    addSlots(found->second);
  }
}

const InstanceEntry* InstanceTable::find(const std::string& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

std::map<std::string, jobs::EventIntervalReport> InstanceTable::eventIntervals(
    base::TimePoint now) const {
  std::map<std::string, jobs::EventIntervalReport> eventIntervals;
  // Ids are sorted by incarnation, so the latest incarnation of an engine overwrites earlier ones.
  for (const std::string& id : m_measured) {
    const InstanceEntry& entry = m_entries.at(id);
    eventIntervals[directory::instanceName(id)] = {entry.recentEventIntervalMs,
                                                   now - entry.eventIntervalAt,
                                                   entry.load.slowdownPercent, now - entry.loadAt};
  }
  return eventIntervals;
}

std::size_t InstanceTable::count(const std::string& service) const {
  const auto& instances = instancesOf(service);
  return static_cast<std::size_t>(
      std::count_if(instances.begin(), instances.end(), [](const auto& instance) {
        return !instance.second->record.draining && !instance.second->isRemoved;
      }));
}

jobs::FreeSlots InstanceTable::freeSlots(const ServiceModels& models) const {
  jobs::FreeSlots freeSlots;
  for (const auto& [service, servedModels] : models) {
    const auto found = m_slots.find(service);
    if (found == m_slots.end()) {
      continue;
    }
    for (const auto& [model, byVersion] : found->second) {
      if (!servedModels.contains(model)) {
        continue;
      }
      for (const auto& [version, slots] : byVersion) {
        if (version > 0) {
          freeSlots.add(model, version, slots);
        }
      }
    }
  }
  return freeSlots;
}

double InstanceTable::occupancy(const std::string& service) const {
  double taken = 0;
  double totalSlots = 0;
  for (const auto& [id, entry] : instancesOf(service)) {
    if (!entry->record.draining && !entry->isRemoved) {
      taken += std::max<double>(entry->inFlight, entry->load.running + entry->load.waiting);
      totalSlots += entry->record.slots;
    }
  }
  return totalSlots > 0 ? taken / totalSlots : 1.0;
}

}  // namespace tackpick::forwarding
