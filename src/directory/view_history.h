/// \file
/// What changed in which revision of the controllers' view, so that a node is told only what it
/// lacks.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/serialization.h"
#include "base/time.h"
#include "directory/directory_messages.h"

namespace tackpick::directory {

/// The leading controller's. Deterministic. Heartbeats alone change nothing: how long an instance
/// has been silent is told once it is longer than `silenceTold`, and then in every view.
class ViewHistory {
 public:
  explicit ViewHistory(base::Duration silenceTold) : m_silenceTold(silenceTold) {}

  /// Call when this controller becomes leader: its revisions are above `revision`, and no node
  /// holds one of them.
  void reset(std::uint64_t revision);
  /// Takes in what a node would be told now, as a whole view without a configuration. The revision
  /// rises when that differs from the last.
  void update(DirectoryView present);
  [[nodiscard]] std::uint64_t revision() const { return m_revision; }
  /// What a node lacks that holds the view of `held`; the whole view when that is none of this
  /// leader's.
  [[nodiscard]] DirectoryView since(std::uint64_t held) const;

 private:
  struct Told {
    InstanceView instance;
    bool silent = false;
    std::uint64_t changedAt = 0;  ///< a revision
  };

  [[nodiscard]] bool isSilent(const InstanceView& instance) const {
    return instance.silence > m_silenceTold;
  }
  /// True when the instance is new or is told otherwise than before.
  bool note(InstanceView instance, std::uint64_t next);
  bool noteRemoved(const std::map<std::string, bool>& present, std::uint64_t next);

  const base::Duration m_silenceTold;
  std::uint64_t m_first = 0;  ///< no earlier revision is known
  std::uint64_t m_revision = 0;
  std::map<std::string, Told> m_instances;
  std::map<std::string, std::uint64_t> m_removed;  ///< by id: the revision
  DirectoryView m_rest;                            ///< without instances
  base::Bytes m_comparedRest;                      ///< m_rest without silences, encoded
};

}  // namespace tackpick::directory
