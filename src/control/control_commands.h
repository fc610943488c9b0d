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

/// Change of one settings node. `expectedRevision` must be the node's current revision, zero when
/// the node must not exist; without it the change is unconditional.
struct NodeChange {
  std::string path;
  std::optional<base::Revision> expectedRevision;
  bool remove = false;
  bool replace = false;  ///< drop the values that `set` does not name
  std::map<SettingKey, SettingValue> set;
  std::vector<SettingKey> unset;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(path, expectedRevision, remove, replace, set, unset);
  }
};

/// Several node changes that take effect together or not at all.
struct ApplyChange {
  std::string author;
  bool dryRun = false;
  std::vector<NodeChange> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(author, dryRun, changes);
  }
};

/// Sighting of an engine, from the machine list.
struct RegisterEngine {
  EngineRecord record;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

/// Operator's drain of an engine, or its end.
struct DrainEngine {
  base::EngineId engine;
  bool drained = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, drained);
  }
};

/// New weights. Versions of a model only go up.
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

/// A command of the control log. Resending the same `requestId` with the same operation gives the
/// first outcome again; with another operation it is refused. Empty: not remembered.
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
  kUnchanged,        ///< valid, but everything was already so; no new revision
  kConflict,         ///< a node is not at the expected revision
  kInvalid,          ///< breaks a rule; see `message`
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
  base::Revision revision;  ///< made by this change, or in force when nothing changed
  std::string message;
  std::vector<NodeConflict> conflicts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, revision, message, conflicts);
  }
};

/// A line of the history: what one accepted change did to one node.
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

/// Reads the whole control state as a full delta.
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
  bool truncated = false;  ///< older entries were dropped

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries, truncated);
  }
};

}  // namespace tackpick::control
