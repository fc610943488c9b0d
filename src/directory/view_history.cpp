#include "directory/view_history.h"

#include <utility>

namespace tackpick::directory {
namespace {

/// Instances that are gone are remembered up to this number; a node that was told of none of them
/// gets the whole view.
constexpr std::size_t kMostRemoved = 4096;

bool sameInstance(const InstanceView& left, const InstanceView& right) {
  return left.record == right.record && left.versions == right.versions &&
         left.loading == right.loading;
}

base::Bytes encodeWithoutSilences(DirectoryView view) {
  for (LedgerSight& sight : view.ledgers) {
    sight.silence = {};
  }
  return base::encode(view);
}

}  // namespace

void ViewHistory::reset(std::uint64_t revision) {
  m_first = revision + 1;
  m_revision = revision;
  m_instances.clear();
  m_removed.clear();
  m_rest = {};
  m_comparedRest.clear();
}

void ViewHistory::update(DirectoryView present) {
  const std::uint64_t next = m_revision + 1;
  bool changed = false;
  std::map<std::string, bool> ids;
  for (InstanceView& instance : std::exchange(present.instances, {})) {
    ids.emplace(instance.record.id, true);
    changed = note(std::move(instance), next) || changed;
  }
  changed = noteRemoved(ids, next) || changed;
  base::Bytes rest = encodeWithoutSilences(present);
  changed = changed || rest != m_comparedRest;
  m_comparedRest = std::move(rest);
  m_rest = std::move(present);
  if (changed) {
    m_revision = next;
  }
}

bool ViewHistory::note(InstanceView instance, std::uint64_t next) {
  const bool silent = isSilent(instance);
  const auto [known, added] = m_instances.try_emplace(instance.record.id);
  Told& told = known->second;
  const bool changed = added || told.silent != silent || !sameInstance(told.instance, instance);
  if (changed) {
    m_removed.erase(instance.record.id);
    told.changedAt = next;
  }
  told.silent = silent;
  told.instance = std::move(instance);
  return changed;
}

bool ViewHistory::noteRemoved(const std::map<std::string, bool>& present, std::uint64_t next) {
  bool changed = false;
  for (auto it = m_instances.begin(); it != m_instances.end();) {
    if (present.contains(it->first)) {
      ++it;
      continue;
    }
    m_removed[it->first] = next;
    it = m_instances.erase(it);
    changed = true;
  }
  if (m_removed.size() > kMostRemoved) {
    m_removed.clear();
    m_first = next;
  }
  return changed;
}

DirectoryView ViewHistory::since(std::uint64_t held) const {
  DirectoryView view = m_rest;
  view.revision = m_revision;
  view.whole = held < m_first || held > m_revision;
  view.since = view.whole ? 0 : held;
  for (const auto& [id, told] : m_instances) {
    if (view.whole || told.silent || told.changedAt > held) {
      view.instances.push_back(told.instance);
    }
  }
  for (const auto& [id, revision] : m_removed) {
    if (!view.whole && revision > held) {
      view.removed.push_back(id);
    }
  }
  return view;
}

}  // namespace tackpick::directory
