/// \file
/// The controller role: replicated control state, serving leases, engine orders.
#pragma once

#include <functional>
#include <vector>

#include "consensus/replica.h"
#include "control/control_state.h"
#include "control/serving_leases.h"
#include "control/weights_rollout.h"

namespace tackpick::control {

/// Knobs of a Controller.
struct ControllerSettings {
  consensus::ReplicaSettings replica;
  ControlLimits limits;
  ServingLeaseSettings leases;
  WeightsRolloutSettings rollout;
  /// A new leader grants no serving lease until what the machine list says is in force, or for this
  /// long the list cannot be read; zero where there is no list. Without that, gateways that waited
  /// for a leader would serve before they learn which engines began to leave meanwhile.
  base::Duration machineListWait{0};

  struct Mutants {
    bool acceptBeforeInForce = false;  ///< answer a change as soon as it is committed
  } mutants;
};

/// One line of the platform's lagging machine list.
struct MachineListEntry {
  EngineRecord engine;
};

/// What the driver must do after a turn, besides syncing.
struct ControllerActions {
  transport::Outbox messages;
  std::vector<engine::OutgoingEngineCommand> orders;
};

/// Deterministic; owned by one thread. A change is answered as accepted only once it is in force
/// everywhere: see ServingLeases.
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
  /// Ends a turn: syncs, applies, and says what to send.
  [[nodiscard]] ControllerActions finish(base::TimePoint now);

  /// Called with the outcome once it is in force, or nothing when leadership was lost on the way.
  using ChangeCompletion = std::function<void(const ChangeOutcome* outcome)>;
  /// Submits an operator's change. False when this controller does not lead.
  bool submit(const ControlCommand& command, base::TimePoint now, ChangeCompletion completion);

  /// True when reads of state() see every accepted change.
  [[nodiscard]] bool canRead(base::TimePoint now) const { return replica_.canRead(now); }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  [[nodiscard]] consensus::Replica& replica() { return replica_; }
  [[nodiscard]] const ServingLeases& leases() const { return leases_; }
  [[nodiscard]] const WeightsRollout& rollout() const { return rollout_; }

 private:
  struct AwaitingForce {
    ChangeOutcome outcome;
    ChangeCompletion completion;
  };
  struct Watcher {
    base::Incarnation incarnation;
    base::Revision sent;  ///< configuration last sent to it
  };

  [[nodiscard]] bool maySpeak(base::TimePoint now) const;
  [[nodiscard]] bool awaitsMachineList(base::TimePoint now) const;
  void observeLeadership(base::TimePoint now);
  void answerInForce(base::TimePoint now);
  void pushChanges(base::TimePoint now);
  void orderEngines(base::TimePoint now);

  const ControllerSettings settings_;
  ControlState state_;
  consensus::Replica replica_;
  ServingLeases leases_;
  WeightsRollout rollout_;
  bool was_leader_ = false;
  consensus::Term observed_term_ = 0;
  consensus::Term list_term_ = 0;  ///< in which the machine list was last read
  std::size_t list_changes_ = 0;   ///< found in the list and not yet in force
  std::vector<AwaitingForce> awaiting_;
  std::map<base::NodeId, Watcher> watchers_;
  base::TimePoint ordered_at_{};    ///< when engines were last looked at for orders
  base::Revision pushed_revision_;  ///< every watcher was sent this one or a newer
  ControllerActions actions_;
};

}  // namespace tackpick::control
