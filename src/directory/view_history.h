/// \file
/// What changed in which revision of the controllers' view, so that a node is told only what it
/// lacks.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/serialization.h"
#include "directory/directory_messages.h"

namespace tackpick::directory {

/// An instance as it is now. It refers to what it consists of, since all instances are compared
/// with what was told of them several times a second, and few have changed.
struct InstanceViewRef {
  const InstanceRecord* record = nullptr;
  const std::map<std::string, std::uint64_t>* versions = nullptr;
  bool unresponsive = false;
  bool loading = false;
  bool standby = false;
};

/// The leading controller's. Deterministic. Heartbeats alone change nothing. A comparison costs a
/// step for each instance and a copy for each changed one (10,000 instances of six models: 5 ms;
/// 26 ms when each was copied), an answer costs what it tells.
class ViewHistory {
 public:
  /// Call when this controller becomes leader: its revisions are above `revision`, and no node
  /// holds one of them.
  void reset(std::uint64_t revision);
  /// Takes in what a node would be told now: `instances` in the order of their ids, `rest` without
  /// any and without a configuration. The revision rises when that differs from the last.
  void update(const std::vector<InstanceViewRef>& instances, DirectoryView rest);
  [[nodiscard]] std::uint64_t revision() const { return m_revision; }
  /// True when a node that holds the view of `held` needs the whole: it is none of this leader's,
  /// or too old.
  [[nodiscard]] bool needsFullView(std::uint64_t held) const {
    return held < m_first || held > m_revision;
  }
  /// What a node lacks that holds the view of `held`.
  [[nodiscard]] DirectoryView since(std::uint64_t held) const;
  /// All but the instances, for a node that must wait for those: it still holds the view of `held`.
  [[nodiscard]] DirectoryView withoutInstances(std::uint64_t held) const;

 private:
  struct Told {
    InstanceView instance;
    std::uint64_t changedAt = 0;  ///< a revision
  };
  using Instances = std::map<std::string, Told>;
  /// Ids by the revision in which they last changed.
  using ByRevision = std::set<std::pair<std::uint64_t, std::string>>;

  /// True when anything differs from what was told.
  bool updateInstances(const std::vector<InstanceViewRef>& instances, std::uint64_t next);
  void note(Told& told, const InstanceViewRef& instance, std::uint64_t next);
  Instances::iterator forget(Instances::iterator known, std::uint64_t next);
  void forgetOldRemovals();

  std::uint64_t m_first = 0;  ///< no earlier revision is known
  std::uint64_t m_revision = 0;
  Instances m_instances;
  ByRevision m_changed;
  std::map<std::string, std::uint64_t> m_removed;  ///< by id: the revision
  ByRevision m_removedByRevision;
  DirectoryView m_rest;        ///< without instances
  base::Bytes m_comparedRest;  ///< m_rest without silences, encoded
};

}  // namespace tackpick::directory
