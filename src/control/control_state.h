/// \file
/// Replicated control state: settings tree, engines, weights, credentials.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "consensus/state_machine.h"
#include "control/control_commands.h"
#include "control/settings_tree.h"

namespace tackpick::control {

/// Limits of ControlState. They affect the replicated state, so they must be equal on all replicas.
struct ControlLimits {
  /// Minimum number of request ids that are kept to recognize resent commands; the oldest are
  /// removed first. Commands are resent within minutes; this is more than two days of 17,000
  /// changes.
  std::size_t retainedRequestIds = 40'000;
  std::size_t retainedHistoryEntries = 4'000;
  /// Minimum number of tombstones that are kept. Receivers with an older revision get the full
  /// state.
  std::size_t retainedTombstones = 1'000;

  struct Mutants {
    bool ignoreExpectedRevision = false;
    bool forgetRequestIds = false;
  } mutants;
};

/// State machine of the control state. The revision of a change is the index of its log entry, so
/// it increases across leaders, restarts and snapshots. Deterministic.
class ControlState final : public consensus::StateMachine {
 public:
  explicit ControlState(ControlLimits limits = {}) : limits_(limits) {}

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& query) const override;
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  [[nodiscard]] base::Revision revision() const { return m_data.revision; }
  [[nodiscard]] ControlDelta deltaSince(base::Revision knownRevision) const;
  [[nodiscard]] const SettingsTree& settings() const { return m_data.settings; }
  [[nodiscard]] const std::map<base::EngineId, EngineRecord>& engines() const {
    return m_data.engines;
  }
  [[nodiscard]] const std::map<std::string, WeightsRecord>& weights() const {
    return m_data.weights;
  }

 private:
  struct CompletedRequest {
    std::string id;
    std::uint64_t operationHash = 0;
    ChangeOutcome outcome;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(id, operationHash, outcome);
    }
  };
  /// Contents of a snapshot.
  struct SnapshotData {
    base::Revision revision;
    base::Revision prunedRevision;  ///< tombstones up to this revision were removed
    SettingsTree settings;
    std::map<base::EngineId, EngineRecord> engines;
    std::map<std::string, WeightsRecord> weights;
    std::map<std::string, CredentialRecord> credentials;
    std::map<std::string, CompletedRequest> requests;
    std::vector<std::string> requestOrder;  ///< oldest first
    std::vector<HistoryEntry> history;
    bool historyTruncated = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, prunedRevision, settings, engines, weights, credentials, requests,
              requestOrder, history, historyTruncated);
    }
  };

  ChangeOutcome applyOnce(base::Revision nextRevision, const ControlCommand& command,
                          const base::Bytes& encoded);
  ChangeOutcome applyOperation(base::Revision nextRevision, const ApplyChange& change);
  ChangeOutcome applyOperation(base::Revision nextRevision, const RegisterEngine& command);
  ChangeOutcome applyOperation(base::Revision nextRevision, const DrainEngine& command);
  ChangeOutcome applyOperation(base::Revision nextRevision, const PublishWeights& command);
  ChangeOutcome applyOperation(base::Revision nextRevision, const PutCredential& command);
  /// Returns an error message for an invalid node change; empty if it is valid.
  [[nodiscard]] std::string validateNodeChange(const NodeChange& change) const;
  [[nodiscard]] SettingsNode applyNodeChange(base::Revision nextRevision,
                                             const NodeChange& change) const;
  void recordRequest(const std::string& id, std::uint64_t hash, const ChangeOutcome& outcome);
  void appendHistory(base::Revision nextRevision, const std::string& author,
                     const SettingsNode& after);
  void pruneTombstones();
  ChangeOutcome acceptedOutcome(base::Revision nextRevision);
  [[nodiscard]] ChangeOutcome rejectedOutcome(ChangeStatus status, std::string message) const;

  ControlLimits limits_;
  SnapshotData m_data;
};

}  // namespace tackpick::control
