#include "directory/view_history.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// Minimum number of tombstones that are kept; more are kept if there are more instances. Nodes
/// whose revision is older than the kept tombstones get a full view; replacing half of a large
/// cluster must not make all nodes need one.
constexpr std::size_t kMinTombstones = 4096;

bool isUnchanged(const InstanceView& recorded, const InstanceViewRef& now) {
  return recorded.unresponsive == now.unresponsive && recorded.loading == now.loading &&
         recorded.standby == now.standby && recorded.versions == *now.versions &&
         recorded.record == *now.record;
}

base::Bytes encodeForComparison(DirectoryView view) {
  for (LedgerSummary& summary : view.ledgers) {
    summary.silence = {};
  }
  return base::encode(view);
}

}  // namespace

void ViewHistory::reset(std::uint64_t revision) {
  m_oldestRevision = revision + 1;
  m_revision = revision;
  m_instances.clear();
  m_changed.clear();
  m_tombstones.clear();
  m_tombstonesByRevision.clear();
  m_sharedView = {};
  m_encodedSharedView.clear();
}

void ViewHistory::update(const std::vector<InstanceViewRef>& instances, DirectoryView sharedView) {
  const std::uint64_t nextRevision = m_revision + 1;
  bool changed = updateInstances(instances, nextRevision);
  base::Bytes compared = encodeForComparison(sharedView);
  changed = changed || compared != m_encodedSharedView;
  m_encodedSharedView = std::move(compared);
  m_sharedView = std::move(sharedView);
  if (changed) {
    m_revision = nextRevision;
  }
}

bool ViewHistory::updateInstances(const std::vector<InstanceViewRef>& instances,
                                  std::uint64_t nextRevision) {
  bool changed = false;
  auto known = m_instances.begin();
  for (const InstanceViewRef& instance : instances) {
    const std::string& id = instance.record->id;
    while (known != m_instances.end() && known->first < id) {
      known = remove(known, nextRevision);
      changed = true;
    }
    const bool added = known == m_instances.end() || known->first != id;
    if (added) {
      known = m_instances.emplace_hint(known, id, RecordedInstance{});
    }
    if (added || !isUnchanged(known->second.instance, instance)) {
      recordChange(known->second, instance, nextRevision);
      changed = true;
    }
    ++known;
  }
  while (known != m_instances.end()) {
    known = remove(known, nextRevision);
    changed = true;
  }
  pruneTombstones();
  return changed;
}

void ViewHistory::recordChange(RecordedInstance& recorded, const InstanceViewRef& instance,
                               std::uint64_t nextRevision) {
  const std::string& id = instance.record->id;
  const auto tombstone = m_tombstones.find(id);
  if (tombstone != m_tombstones.end()) {
    m_tombstonesByRevision.erase({tombstone->second, id});
    m_tombstones.erase(tombstone);
  }
  m_changed.erase({recorded.changedAt, id});
  m_changed.emplace(nextRevision, id);
  recorded.changedAt = nextRevision;
  recorded.instance = {*instance.record, instance.unresponsive, *instance.versions,
                       instance.loading, instance.standby};
}

ViewHistory::Instances::iterator ViewHistory::remove(Instances::iterator known,
                                                     std::uint64_t nextRevision) {
  m_changed.erase({known->second.changedAt, known->first});
  m_tombstones[known->first] = nextRevision;
  m_tombstonesByRevision.emplace(nextRevision, known->first);
  return m_instances.erase(known);
}

void ViewHistory::pruneTombstones() {
  const std::size_t maxTombstones = std::max(kMinTombstones, m_instances.size());
  while (m_tombstones.size() > maxTombstones) {
    const auto oldest = m_tombstonesByRevision.begin();
    m_oldestRevision = std::max(m_oldestRevision, oldest->first);
    m_tombstones.erase(oldest->second);
    m_tombstonesByRevision.erase(oldest);
  }
}

DirectoryView ViewHistory::viewWithoutInstances(std::uint64_t heldRevision) const {
  DirectoryView view = m_sharedView;
  view.revision = heldRevision;
  view.isFull = false;
  view.baseRevision = heldRevision;
  return view;
}

DirectoryView ViewHistory::changesSince(std::uint64_t heldRevision) const {
  DirectoryView view = m_sharedView;
  view.revision = m_revision;
  view.isFull = needsFullView(heldRevision);
  if (view.isFull) {
    for (const auto& [id, recorded] : m_instances) {
      view.instances.push_back(recorded.instance);
    }
    return view;
  }
  view.baseRevision = heldRevision;
  const std::pair<std::uint64_t, std::string> first{heldRevision + 1, {}};
  for (auto it = m_changed.lower_bound(first); it != m_changed.end(); ++it) {
    view.instances.push_back(m_instances.at(it->second).instance);
  }
  for (auto it = m_tombstonesByRevision.lower_bound(first); it != m_tombstonesByRevision.end();
       ++it) {
    view.removed.push_back(it->second);
  }
  return view;
}

}  // namespace tackpick::directory
