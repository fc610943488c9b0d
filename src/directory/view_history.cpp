#include "directory/view_history.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// Instances that are gone are remembered up to this number, or as many as there are instances: a
/// node that was told of none of them gets the whole view, and those that hold the newest views
/// must not all need it because half of a large fleet is replaced.
constexpr std::size_t kMaxRemoved = 4096;

bool isTold(const InstanceView& told, const InstanceViewRef& now) {
  return told.unresponsive == now.unresponsive && told.loading == now.loading &&
         told.standby == now.standby && told.versions == *now.versions &&
         told.record == *now.record;
}

base::Bytes encodeWithoutSilences(DirectoryView view) {
  for (LedgerSummary& summary : view.ledgers) {
    summary.silence = {};
  }
  return base::encode(view);
}

}  // namespace

void ViewHistory::reset(std::uint64_t revision) {
  m_first = revision + 1;
  m_revision = revision;
  m_instances.clear();
  m_changed.clear();
  m_removed.clear();
  m_removedByRevision.clear();
  m_rest = {};
  m_comparedRest.clear();
}

void ViewHistory::update(const std::vector<InstanceViewRef>& instances, DirectoryView rest) {
  const std::uint64_t next = m_revision + 1;
  bool changed = updateInstances(instances, next);
  base::Bytes compared = encodeWithoutSilences(rest);
  changed = changed || compared != m_comparedRest;
  m_comparedRest = std::move(compared);
  m_rest = std::move(rest);
  if (changed) {
    m_revision = next;
  }
}

bool ViewHistory::updateInstances(const std::vector<InstanceViewRef>& instances,
                                  std::uint64_t next) {
  bool changed = false;
  auto known = m_instances.begin();
  for (const InstanceViewRef& instance : instances) {
    const std::string& id = instance.record->id;
    while (known != m_instances.end() && known->first < id) {
      known = forget(known, next);
      changed = true;
    }
    const bool added = known == m_instances.end() || known->first != id;
    if (added) {
      known = m_instances.emplace_hint(known, id, Told{});
    }
    if (added || !isTold(known->second.instance, instance)) {
      note(known->second, instance, next);
      changed = true;
    }
    ++known;
  }
  while (known != m_instances.end()) {
    known = forget(known, next);
    changed = true;
  }
  forgetOldRemovals();
  return changed;
}

void ViewHistory::note(Told& told, const InstanceViewRef& instance, std::uint64_t next) {
  const std::string& id = instance.record->id;
  const auto removed = m_removed.find(id);
  if (removed != m_removed.end()) {
    m_removedByRevision.erase({removed->second, id});
    m_removed.erase(removed);
  }
  m_changed.erase({told.changedAt, id});
  m_changed.emplace(next, id);
  told.changedAt = next;
  told.instance = {*instance.record, instance.unresponsive, *instance.versions, instance.loading,
                   instance.standby};
}

ViewHistory::Instances::iterator ViewHistory::forget(Instances::iterator known,
                                                     std::uint64_t next) {
  m_changed.erase({known->second.changedAt, known->first});
  m_removed[known->first] = next;
  m_removedByRevision.emplace(next, known->first);
  return m_instances.erase(known);
}

void ViewHistory::forgetOldRemovals() {
  const std::size_t most = std::max(kMaxRemoved, m_instances.size());
  while (m_removed.size() > most) {
    const auto oldest = m_removedByRevision.begin();
    m_first = std::max(m_first, oldest->first);
    m_removed.erase(oldest->second);
    m_removedByRevision.erase(oldest);
  }
}

DirectoryView ViewHistory::withoutInstances(std::uint64_t held) const {
  DirectoryView view = m_rest;
  view.revision = held;
  view.isFull = false;
  view.since = held;
  return view;
}

DirectoryView ViewHistory::since(std::uint64_t held) const {
  DirectoryView view = m_rest;
  view.revision = m_revision;
  view.isFull = needsFullView(held);
  if (view.isFull) {
    for (const auto& [id, told] : m_instances) {
      view.instances.push_back(told.instance);
    }
    return view;
  }
  view.since = held;
  const std::pair<std::uint64_t, std::string> first{held + 1, {}};
  for (auto it = m_changed.lower_bound(first); it != m_changed.end(); ++it) {
    view.instances.push_back(m_instances.at(it->second).instance);
  }
  for (auto it = m_removedByRevision.lower_bound(first); it != m_removedByRevision.end(); ++it) {
    view.removed.push_back(it->second);
  }
  return view;
}

}  // namespace tackpick::directory
