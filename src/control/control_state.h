/// \file
/// The replicated control state: settings tree, engines, weights, credentials.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "consensus/state_machine.h"
#include "control/control_commands.h"
#include "control/settings_tree.h"

namespace tackpick::control {

/// Knobs of ControlState; part of the replicated behaviour, so the same on every replica.
struct ControlLimits {
  /// Request ids remembered; the oldest are forgotten first. Weeks at 17,000 changes a day would
  /// not fit, and a resend comes within minutes: this keeps more than two days.
  std::size_t rememberedRequests = 40'000;
  std::size_t historyEntries = 4'000;
  /// Tombstones kept; an older receiver gets the full state.
  std::size_t tombstones = 1'000;

  struct Mutants {
    bool ignoreExpectedRevision = false;
    bool forgetRequestIds = false;
  } mutants;
};

/// Deterministic. The revision of a change is the index of its log entry, so it rises across
/// leaders, restarts and snapshots.
class ControlState final : public consensus::StateMachine {
 public:
  explicit ControlState(ControlLimits limits = {}) : limits_(limits) {}

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& query) const override;
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  [[nodiscard]] base::Revision revision() const { return content_.revision; }
  [[nodiscard]] ControlDelta deltaSince(base::Revision have) const;
  [[nodiscard]] const SettingsTree& settings() const { return content_.settings; }
  [[nodiscard]] const std::map<base::EngineId, EngineRecord>& engines() const {
    return content_.engines;
  }
  [[nodiscard]] const std::map<std::string, WeightsRecord>& weights() const {
    return content_.weights;
  }

 private:
  struct RememberedRequest {
    std::string id;
    std::uint64_t operationHash = 0;
    ChangeOutcome outcome;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(id, operationHash, outcome);
    }
  };
  /// All that a snapshot holds.
  struct Content {
    base::Revision revision;
    base::Revision prunedRevision;  ///< tombstones up to here were dropped
    SettingsTree settings;
    std::map<base::EngineId, EngineRecord> engines;
    std::map<std::string, WeightsRecord> weights;
    std::map<std::string, CredentialRecord> credentials;
    std::map<std::string, RememberedRequest> requests;
    std::vector<std::string> requestOrder;  ///< oldest first
    std::vector<HistoryEntry> history;
    bool historyTruncated = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(revision, prunedRevision, settings, engines, weights, credentials, requests,
              requestOrder, history, historyTruncated);
    }
  };

  ChangeOutcome applyOnce(base::Revision next, const ControlCommand& command,
                          const base::Bytes& encoded);
  ChangeOutcome applyOperation(base::Revision next, const ApplyChange& change);
  ChangeOutcome applyOperation(base::Revision next, const RegisterEngine& command);
  ChangeOutcome applyOperation(base::Revision next, const DrainEngine& command);
  ChangeOutcome applyOperation(base::Revision next, const PublishWeights& command);
  ChangeOutcome applyOperation(base::Revision next, const PutCredential& command);
  /// What is wrong with one node change, in one sentence; empty when nothing is.
  [[nodiscard]] std::string checkNodeChange(const NodeChange& change) const;
  [[nodiscard]] SettingsNode changedNode(base::Revision next, const NodeChange& change) const;
  void remember(const std::string& id, std::uint64_t hash, const ChangeOutcome& outcome);
  void record(base::Revision next, const std::string& author, const SettingsNode& after);
  void pruneTombstones();
  ChangeOutcome accepted(base::Revision next);
  [[nodiscard]] ChangeOutcome refused(ChangeStatus status, std::string message) const;

  ControlLimits limits_;
  Content content_;
};

}  // namespace tackpick::control
