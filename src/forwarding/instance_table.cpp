#include "forwarding/instance_table.h"

#include <algorithm>

#include "base/random.h"
#include "directory/incarnation.h"
#include "jobs/engine_cost.h"

namespace tackpick::forwarding {
namespace {

/// Reports of load older than this say nothing.
constexpr base::Duration kLoadFreshness = base::milliseconds(800);
/// The time that work takes changes many times a second.
constexpr base::Duration kSlowdownMaxAge = base::milliseconds(200);
constexpr double kLatencyWeight = 0.2;
constexpr double kIntervalSmoothing = 0.15;
/// Of what the ledgers are told, which average it over gateways.
constexpr double kRecentIntervalSmoothing = 0.3;
/// What was measured before says nothing of an engine's present pace.
constexpr base::Duration kIntervalMaxAge = base::seconds(2);
/// An instance in another zone counts as this much busier, in requests.
constexpr double kOtherZoneCost = 0.4;

/// Its slots count when work is asked for.
bool takesWork(const InstanceEntry& entry) {
  return !entry.record.draining && !entry.gone && !entry.standby && entry.record.slots > 0;
}

}  // namespace

std::string_view toString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      return "served";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kUnreached:
      return "unreached";
    case AttemptOutcome::kFull:
      return "full";
    case AttemptOutcome::kGone:
      return "gone";
    case AttemptOutcome::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

std::uint64_t InstanceEntry::version(const std::string& model) const {
  const auto found = versions.find(model);
  return found == versions.end() ? 0 : found->second;
}

void InstanceTable::update(const std::vector<directory::InstanceView>& view) {
  std::set<std::string> present;
  for (const directory::InstanceView& instance : view) {
    present.insert(instance.record.id);
    upsert(instance);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  std::for_each(missing.begin(), missing.end(), [&](const std::string& id) { remove(id); });
  forgetDeparted();
}

void InstanceTable::change(const std::vector<directory::InstanceView>& changed,
                           const std::vector<std::string>& removed) {
  std::for_each(removed.begin(), removed.end(), [&](const std::string& id) { remove(id); });
  for (const directory::InstanceView& instance : changed) {
    upsert(instance);
  }
  forgetDeparted();
}

void InstanceTable::upsert(const directory::InstanceView& instance) {
  const auto [known, added] = entries_.try_emplace(instance.record.id);
  InstanceEntry& entry = known->second;
  if (added) {
    endEarlier(instance.record.id, entry);
    entry.favour = base::hashBytes(settings_.gateway + "/" + instance.record.id);
  } else {
    removeSlots(entry);
    m_byService[entry.record.service].erase(instance.record.id);
  }
  if (m_departed.erase(instance.record.id) > 0) {
    entry.gone = false;
  }
  const bool draining = entry.record.draining || instance.record.draining;
  entry.record = instance.record;
  entry.record.draining = draining;
  entry.unresponsive = instance.unresponsive;
  entry.loading = instance.loading;
  entry.standby = instance.standby;
  for (const auto& [model, version] : instance.versions) {
    std::uint64_t& held = entry.versions[model];
    held = std::max(held, version);
  }
  m_byService[entry.record.service][instance.record.id] = &entry;
  addSlots(entry);
}

void InstanceTable::endEarlier(const std::string& id, InstanceEntry& successor) {
  const std::string name = directory::instanceName(id);
  const auto unnamed = entries_.find(name);
  if (id != name && unnamed != entries_.end()) {
    endEntry(unnamed->second, successor);
  }
  for (auto known = entries_.lower_bound(directory::firstKey(name));
       known != entries_.end() && known->first < id; ++known) {
    endEntry(known->second, successor);
  }
  if (successor.eventIntervalMs > 0) {
    m_measured.insert(id);
  }
}

void InstanceTable::endEntry(InstanceEntry& earlier, InstanceEntry& successor) {
  earlier.ended = true;
  if (earlier.eventIntervalMs > 0) {
    successor.eventIntervalMs = earlier.eventIntervalMs;
    successor.recentEventIntervalMs = earlier.recentEventIntervalMs;
    successor.eventIntervalAt = earlier.eventIntervalAt;
  }
}

bool InstanceTable::hasRestarted(const std::string& id) const {
  const InstanceEntry* entry = find(id);
  return entry != nullptr && entry->ended;
}

void InstanceTable::remove(const std::string& id) {
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return;
  }
  removeSlots(known->second);
  known->second.gone = true;
  m_departed.insert(id);
}

void InstanceTable::forgetDeparted() {
  std::erase_if(m_departed, [&](const std::string& id) {
    const auto known = entries_.find(id);
    if (known->second.inFlight > 0) {
      return false;
    }
    m_measured.erase(id);
    m_byService[known->second.record.service].erase(id);
    entries_.erase(known);
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
  if (!takesWork(entry)) {
    return;
  }
  for (const auto& [model, version] : entry.versions) {
    m_slots[entry.record.service][model][version] += entry.record.slots;
  }
}

void InstanceTable::removeSlots(const InstanceEntry& entry) {
  if (!takesWork(entry)) {
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

bool InstanceTable::serves(const InstanceEntry& entry, const InstanceRequirements& need) {
  return entry.record.service == need.service && !entry.record.draining && !entry.gone &&
         (need.model.empty() || entry.version(need.model) >= need.minimumVersion);
}

double InstanceTable::busyness(const InstanceEntry& entry, base::TimePoint now) {
  const double reported =
      now - entry.loadAt < kLoadFreshness ? entry.load.running + entry.load.waiting : 0.0;
  const double shared = now - entry.sharedLoadAt < kLoadFreshness ? entry.sharedLoad : 0.0;
  return std::max({static_cast<double>(entry.inFlight), reported, shared});
}

double InstanceTable::slowdown(const InstanceEntry& entry, base::TimePoint now) {
  constexpr double kNormalPercent = 100.0;
  const bool fresh = now - entry.loadAt < kSlowdownMaxAge;
  return fresh ? entry.load.slowdownPercent / kNormalPercent : 1.0;
}

double InstanceTable::cost(const InstanceEntry& entry, const InstanceRequirements& need,
                           base::TimePoint now) const {
  const double slots = std::max<double>(1.0, entry.record.slots);
  const double occupied = (busyness(entry, now) + 1.0) / slots;
  if (need.model.empty()) {
    const double away = entry.record.zone != settings_.zone ? kOtherZoneCost / slots : 0.0;
    constexpr double kUnknownLatencyMs = 10.0;
    return (occupied + away) * slowdown(entry, now) *
           (entry.latencyMs > 0 ? entry.latencyMs : kUnknownLatencyMs);
  }
  return jobs::engineCost(entry.eventIntervalMs, occupied);
}

bool InstanceTable::isSound(const InstanceEntry& entry, const InstanceRequirements& need,
                            base::TimePoint now) {
  const bool loads = entry.loading && !need.model.empty();
  return serves(entry, need) && !loads && now >= entry.avoidUntil;
}

bool InstanceTable::hasFreeSlot(const InstanceEntry& entry, base::TimePoint now) {
  return busyness(entry, now) + 1 <= entry.record.slots;
}

bool InstanceTable::isUsable(const std::string& id, const InstanceRequirements& need,
                             base::TimePoint now) const {
  const InstanceEntry* entry = find(id);
  return entry != nullptr && isSound(*entry, need, now);
}

void InstanceTable::onSent(const std::string& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    ++found->second.inFlight;
  }
}

void InstanceTable::onEnded(const std::string& id, AttemptOutcome outcome, base::Duration took,
                            base::TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  InstanceEntry& entry = found->second;
  entry.inFlight -= entry.inFlight > 0 ? 1 : 0;
  switch (outcome) {
    case AttemptOutcome::kServed: {
      const double sample = base::toMilliseconds(took);
      entry.latencyMs = entry.latencyMs > 0
                            ? entry.latencyMs + kLatencyWeight * (sample - entry.latencyMs)
                            : sample;
      entry.failures = 0;
      break;
    }
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnreached: {
      const unsigned doublings = std::min(entry.failures, 4U);
      ++entry.failures;
      entry.avoidUntil =
          now + std::min(settings_.ejectionTime * (1U << doublings), settings_.maxEjection);
      break;
    }
    case AttemptOutcome::kFull:
      entry.avoidUntil = std::max(
          entry.avoidUntil, now + (busyness(entry, now) < entry.record.slots ? settings_.loadingTime
                                                                             : settings_.fullTime));
      break;
    case AttemptOutcome::kGone:
      removeSlots(entry);
      entry.gone = true;
      break;
    case AttemptOutcome::kAbandoned:
      break;
  }
}

void InstanceTable::onEventInterval(const std::string& id, base::Duration perEvent,
                                    base::TimePoint now) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.loading) {
    return;
  }
  InstanceEntry& entry = found->second;
  const double sample = base::toMilliseconds(perEvent);
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
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.load = load;
    found->second.loadAt = now;
  }
}

void InstanceTable::onSharedLoad(const std::string& id, std::uint32_t items, base::TimePoint now) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.sharedLoad = items;
    found->second.sharedLoadAt = now;
  }
}

void InstanceTable::onVersion(const std::string& id, const std::string& model,
                              std::uint64_t version) {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.version(model) < version) {
    removeSlots(found->second);
    found->second.versions[model] = version;
    addSlots(found->second);
  }
}

const InstanceEntry* InstanceTable::find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::map<std::string, jobs::EventIntervalReport> InstanceTable::eventIntervals(
    base::TimePoint now) const {
  std::map<std::string, jobs::EventIntervalReport> eventIntervals;
  // In the order of the ids: of one engine's incarnations the latest comes last.
  for (const std::string& id : m_measured) {
    const InstanceEntry& entry = entries_.at(id);
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
        return !instance.second->record.draining && !instance.second->gone;
      }));
}

jobs::FreeSlots InstanceTable::freeSlots(const ServiceModels& models) const {
  jobs::FreeSlots room;
  for (const auto& [service, run] : models) {
    const auto known = m_slots.find(service);
    if (known == m_slots.end()) {
      continue;
    }
    for (const auto& [model, byVersion] : known->second) {
      if (!run.contains(model)) {
        continue;
      }
      for (const auto& [version, slots] : byVersion) {
        if (version > 0) {
          room.add(model, version, slots);
        }
      }
    }
  }
  return room;
}

double InstanceTable::occupancy(const std::string& service) const {
  double taken = 0;
  double totalSlots = 0;
  for (const auto& [id, entry] : instancesOf(service)) {
    if (!entry->record.draining && !entry->gone) {
      taken += std::max<double>(entry->inFlight, entry->load.running + entry->load.waiting);
      totalSlots += entry->record.slots;
    }
  }
  return totalSlots > 0 ? taken / totalSlots : 1.0;
}

}  // namespace tackpick::forwarding
