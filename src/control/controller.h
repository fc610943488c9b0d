/// \file
/// Controller role: replicated control state, serving leases, engine commands.
#pragma once

#include <functional>
#include <vector>

#include "consensus/replica.h"
#include "control/control_state.h"
#include "control/serving_leases.h"
#include "control/weights_rollout.h"

namespace tackpick::control {

/// Settings of Controller.
struct ControllerSettings {
  consensus::ReplicaSettings replica;
  ControlLimits limits;
  ServingLeaseSettings leases;
  WeightsRolloutSettings rollout;
  /// Maximum time for which a new leader delays serving leases until the contents of the machine
  /// list are committed; zero without a list. Without the delay, gateways would send
  /// requests to draining engines.
  base::Duration machineListTimeout{0};

  struct Mutants {
    bool acceptBeforeInForce = false;  ///< reports a change as accepted as soon as it is committed
  } mutants;
};

/// Entry of the platform's machine list, which may be delayed.
struct MachineListEntry {
  EngineRecord engine;
};

/// Actions for the caller to carry out after a call of finish().
struct ControllerActions {
  transport::Outbox messages;
  std::vector<engine::OutgoingEngineCommand> engineCommands;
};

/// Controller of a cluster whose machines are declared. A change is reported as accepted only once
/// it is applied at all gateways (see ServingLeases). Deterministic; owned by one thread.
class Controller {
 public:
  Controller(base::NodeId self, base::GroupId group, ControllerSettings settings,
             consensus::LogStore& log, base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::CommandRequest& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::MembershipRequest& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::WatchRequest& message, base::TimePoint now);
  void onMachineList(const std::vector<MachineListEntry>& machines, base::TimePoint now);
  void onCommandReply(const engine::EngineCommandReply& reply, base::TimePoint now);
  void tick(base::TimePoint now);
  /// Ends a turn: syncs the log, applies entries and returns the actions to carry out.
  [[nodiscard]] ControllerActions finish(base::TimePoint now);

  /// Called with the outcome once the change is applied at all gateways, or nullptr if leadership
  /// was lost before.
  using ChangeCompletion = std::function<void(const ChangeOutcome* outcome)>;
  /// Submits an operator's change. Returns false if this controller is not the leader.
  bool submit(const ControlCommand& command, base::TimePoint now, ChangeCompletion completion);

  /// Whether reads of state() include every accepted change.
  [[nodiscard]] bool canRead(base::TimePoint now) const { return replica_.canRead(now); }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  [[nodiscard]] consensus::Replica& replica() { return replica_; }
  [[nodiscard]] const ServingLeases& leases() const { return leases_; }
  [[nodiscard]] const WeightsRollout& rollout() const { return rollout_; }

 private:
  struct PendingChange {
    ChangeOutcome outcome;
    ChangeCompletion completion;
  };
  struct Watcher {
    base::Incarnation incarnation;
    base::Revision sent;  ///< revision last sent
  };

  [[nodiscard]] bool holdsLeaderLease(base::TimePoint now) const;
  [[nodiscard]] bool isWaitingForMachineList(base::TimePoint now) const;
  void observeLeadership(base::TimePoint now);
  void completeAppliedChanges(base::TimePoint now);
  void pushChanges(base::TimePoint now);
  void sendEngineCommands(base::TimePoint now);

  const ControllerSettings settings_;
  ControlState state_;
  consensus::Replica replica_;
  ServingLeases leases_;
  WeightsRollout rollout_;
  bool was_leader_ = false;
  consensus::Term observed_term_ = 0;
  consensus::Term m_machineListTerm = 0;  ///< term in which the machine list was last read
  std::size_t m_pendingListChanges = 0;   ///< changes from the list that are not committed yet
  std::vector<PendingChange> m_pendingChanges;
  std::map<base::NodeId, Watcher> watchers_;
  base::TimePoint m_rolloutAt{};    ///< time of the last rollout step
  base::Revision pushed_revision_;  ///< revision that was sent to every watcher
  ControllerActions actions_;
};

}  // namespace tackpick::control
