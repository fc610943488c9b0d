/// \file
/// History of the controllers' view by revision, from which incremental views are made.
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

/// Current state of an instance. Holds references, since all instances are compared several times a
/// second and few have changed.
struct InstanceViewRef {
  const InstanceRecord* record = nullptr;
  const std::map<std::string, std::uint64_t>* versions = nullptr;
  bool unresponsive = false;
  bool loading = false;
  bool standby = false;
};

/// Keeps the view of the leading controller and the revision at which each instance last changed.
/// Heartbeats alone change nothing. The cost of an incremental view depends only on the number of
/// changes. A comparison takes a step per instance and copies only changed ones: 5 ms for 10,000
/// instances with six models, 26 ms if all were copied. Deterministic.
class ViewHistory {
 public:
  /// Call when this controller becomes leader. New revisions are above `revision`.
  void reset(std::uint64_t revision);
  /// Updates the view: `instances` sorted by id, `sharedView` without instances and configuration.
  /// The revision increases if anything has changed.
  void update(const std::vector<InstanceViewRef>& instances, DirectoryView sharedView);
  [[nodiscard]] std::uint64_t revision() const { return m_revision; }
  /// Whether a node with the view of `heldRevision` needs a full view, because the revision is
  /// too old or belongs to another leader.
  [[nodiscard]] bool needsFullView(std::uint64_t heldRevision) const {
    return heldRevision < m_oldestRevision || heldRevision > m_revision;
  }
  /// Returns the changes since `heldRevision`, or a full view if needed.
  [[nodiscard]] DirectoryView changesSince(std::uint64_t heldRevision) const;
  /// Returns the view without instance changes, still at `heldRevision`, for a node whose full view
  /// is delayed.
  [[nodiscard]] DirectoryView viewWithoutInstances(std::uint64_t heldRevision) const;

 private:
  struct RecordedInstance {
    InstanceView instance;
    std::uint64_t changedAt = 0;  ///< revision of the last change
  };
  using Instances = std::map<std::string, RecordedInstance>;
  /// Ids by the revision in which they last changed.
  using ByRevision = std::set<std::pair<std::uint64_t, std::string>>;

  /// Whether any instance was added, changed or removed.
  bool updateInstances(const std::vector<InstanceViewRef>& instances, std::uint64_t nextRevision);
  void recordChange(RecordedInstance& recorded, const InstanceViewRef& instance,
                    std::uint64_t nextRevision);
  Instances::iterator remove(Instances::iterator known, std::uint64_t nextRevision);
  void pruneTombstones();

  /// Oldest revision for which incremental views are available.
  std::uint64_t m_oldestRevision = 0;
  std::uint64_t m_revision = 0;
  Instances m_instances;
  ByRevision m_changed;
  std::map<std::string, std::uint64_t> m_tombstones;  ///< revision of the removal by id
  ByRevision m_tombstonesByRevision;
  DirectoryView m_sharedView;       ///< without instances and configuration
  base::Bytes m_encodedSharedView;  ///< m_sharedView encoded for comparison
};

}  // namespace tackpick::directory
