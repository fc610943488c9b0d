#include "routing/engine_table.h"

#include <algorithm>

namespace tackpick::routing {

void EngineTable::apply(const control::ControlDelta& delta) {
  if (delta.full) {
    std::set<base::EngineId> listed;
    for (const control::EngineRecord& record : delta.engines) {
      listed.insert(record.engine);
    }
    std::erase_if(entries_, [&](const auto& entry) { return !listed.contains(entry.first); });
  }
  for (const control::EngineRecord& record : delta.engines) {
    if (record.removed) {
      entries_.erase(record.engine);
      continue;
    }
    EngineEntry& entry = entries_[record.engine];
    if (record.incarnation < entry.record.incarnation) {
      continue;
    }
    if (record.incarnation > entry.record.incarnation) {
      const bool statusIsNewer = entry.hasStatus && entry.status.incarnation >= record.incarnation;
      const std::uint32_t inFlight = entry.inFlight;
      if (!statusIsNewer) {
        entry = {};
        entry.inFlight = inFlight;
      }
    }
    entry.record = record;
    entry.draining = entry.draining || record.draining;
  }
}

void EngineTable::onStatus(const engine::EngineStatus& status, base::TimePoint now) {
  const auto found = entries_.find(status.engine);
  if (found == entries_.end()) {
    return;
  }
  EngineEntry& entry = found->second;
  const base::TimePoint measuredAt = now - status.age;
  const bool restarted = entry.hasStatus && status.incarnation > entry.status.incarnation;
  if (entry.hasStatus && status.incarnation < entry.status.incarnation) {
    return;
  }
  if (restarted) {
    entry.cachedBlocks.clear();
    entry.draining = entry.record.draining && entry.record.incarnation >= status.incarnation;
  }
  if (!entry.hasStatus || restarted || measuredAt >= entry.statusMeasuredAt) {
    entry.statusMeasuredAt = measuredAt;
    entry.dispatchedSinceStatus = std::min(entry.dispatchedSinceStatus, entry.inFlight);
    // The status does not include attempts dispatched during the report delay. Their number is
    // estimated as half of the recent dispatches, limited by the in-flight count of this gateway.
    entry.dispatchedSinceStatus /= 2;
  }
  entry.status = status;
  entry.hasStatus = true;
  if (entry.pollSentAt) {
    entry.lastConfirmedAt = std::max(entry.lastConfirmedAt, *entry.pollSentAt);
    entry.pollSentAt.reset();
  }
  entry.draining = entry.draining || status.draining;
}

void EngineTable::onPollSent(base::EngineId engine, base::TimePoint now) {
  const auto found = entries_.find(engine);
  if (found != entries_.end() && !found->second.pollSentAt) {
    found->second.pollSentAt = now;
  }
}

void EngineTable::onDispatch(base::EngineId engine) {
  const auto found = entries_.find(engine);
  if (found != entries_.end()) {
    ++found->second.inFlight;
    ++found->second.dispatchedSinceStatus;
  }
}

void EngineTable::onAttemptFinished(base::EngineId engine) {
  const auto found = entries_.find(engine);
  if (found != entries_.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void EngineTable::onCacheEvent(base::EngineId engine, const engine::CacheEvent& event) {
  const auto found = entries_.find(engine);
  if (found == entries_.end()) {
    return;
  }
  if (event.kind == engine::CacheEventKind::kStored) {
    found->second.cachedBlocks.insert(event.block);
  } else {
    found->second.cachedBlocks.erase(event.block);
  }
}

void EngineTable::onCacheEventsLost(base::EngineId engine) {
  const auto found = entries_.find(engine);
  constexpr std::size_t kMaxTrackedBlocks = 8192;
  // Lost events make the cache hints inaccurate but never change an answer, so `cachedBlocks` is
  // cleared only when it is too large.
  if (found != entries_.end() && found->second.cachedBlocks.size() > kMaxTrackedBlocks) {
    found->second.cachedBlocks.clear();
  }
}

bool EngineTable::isDraining(const EngineEntry& entry) const {
  return entry.draining || entry.record.draining || entry.record.drained;
}

bool EngineTable::isEligible(const EngineEntry& entry, const std::string& model,
                             base::WeightsVersion minimumVersion, base::TimePoint now) const {
  if (!entry.hasStatus || entry.status.model != model) {
    return false;
  }
  if (!entry.status.activeVersion.valid() || entry.status.activeVersion < minimumVersion) {
    return false;
  }
  if (settings_.mutants.ignoreDraining) {
    return true;
  }
  return !isDraining(entry) && now - entry.lastConfirmedAt < settings_.statusTimeout;
}

std::uint32_t EngineTable::load(const EngineEntry& entry) {
  const std::uint32_t reported =
      entry.status.running + entry.status.waiting + entry.dispatchedSinceStatus;
  return std::max(reported, entry.inFlight);
}

const EngineEntry* EngineTable::find(base::EngineId engine) const {
  const auto found = entries_.find(engine);
  return found == entries_.end() ? nullptr : &found->second;
}

EngineTable::Capacity EngineTable::capacity(const std::string& model, base::TimePoint now) const {
  Capacity total;
  for (const auto& [id, entry] : entries_) {
    if (isEligible(entry, model, {}, now)) {
      total.slots += entry.status.slots;
      total.load += load(entry);
    }
  }
  return total;
}

}  // namespace tackpick::routing
