/// \file
/// Commands and queries of the replicated control state, and their results.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/control_delta.h"

namespace tackpick::control {

/// Change of one settings node. `expectedRevision` must equal the node's current revision, or zero
/// if the node must not exist; without it the change is unconditional.
struct NodeChange {
  std::string path;
  std::optional<base::Revision> expectedRevision;
  bool remove = false;
  bool replace = false;  ///< removes values that `set` does not contain
  std::map<SettingKey, SettingValue> set;
  std::vector<SettingKey> unset;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, expectedRevision, remove, replace, set, unset);
  }
};

/// Several node changes that are applied atomically.
struct ApplyChange {
  std::string author;
  bool dryRun = false;
  std::vector<NodeChange> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(author, dryRun, changes);
  }
};

/// Registers an engine found in the machine list.
struct RegisterEngine {
  EngineRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

/// Starts or ends the draining of an engine by an operator.
struct DrainEngine {
  base::EngineId engine;
  bool drained = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, drained);
  }
};

/// Publishes a version of weights. Versions of a model only increase.
struct PublishWeights {
  std::string model;
  base::WeightsVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, version);
  }
};

struct PutCredential {
  CredentialRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

using ControlOperation =
    std::variant<ApplyChange, RegisterEngine, DrainEngine, PublishWeights, PutCredential>;

/// A command of the control log. A command with a known `requestId` returns the first outcome if
/// the operation is the same and is rejected otherwise. An empty id is not recorded.
struct ControlCommand {
  std::string requestId;
  ControlOperation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(requestId, operation);
  }
};

enum class ChangeStatus : std::uint8_t {
  kAccepted,
  kUnchanged,        ///< valid, but nothing changed; no new revision
  kConflict,         ///< a node is not at the expected revision
  kInvalid,          ///< the change is invalid; see `message`
  kRequestIdReused,  ///< the request id was used for another change
};

/// The current state of a node that was not at the expected revision.
struct NodeConflict {
  std::string path;
  base::Revision currentRevision;
  std::map<SettingKey, SettingValue> currentValues;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, currentRevision, currentValues);
  }
};

struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kInvalid;
  base::Revision revision;  ///< made by this change, or the current one if nothing changed
  std::string message;
  std::vector<NodeConflict> conflicts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, revision, message, conflicts);
  }
};

/// History entry: effect of one accepted change on one node.
struct HistoryEntry {
  base::Revision revision;
  std::string author;
  std::string path;
  std::map<SettingKey, SettingValue> before;
  std::map<SettingKey, SettingValue> after;
  bool removed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, author, path, before, after, removed);
  }
};

/// Reads the complete control state as a full delta.
struct ReadState {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Reads the history after a revision.
struct ReadHistory {
  base::Revision after;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after);
  }
};

using ControlQuery = std::variant<ReadState, ReadHistory>;

struct HistoryResult {
  std::vector<HistoryEntry> entries;
  bool truncated = false;  ///< older entries were removed

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, truncated);
  }
};

}  // namespace tackpick::control
