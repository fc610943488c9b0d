#include "control/controller.h"

#include <algorithm>
#include <utility>

namespace tackpick::control {

using transport::CommandStatus;

Controller::Controller(base::NodeId self, base::GroupId group, ControllerSettings settings,
                       consensus::LogStore& log, base::Random& random, base::TimePoint now)
    : settings_(settings),
      state_(settings.limits),
      replica_(self, group, settings.replica, log, state_, random, now),
      leases_(settings.leases),
      rollout_(settings.rollout) {}

void Controller::handle(base::NodeId from, const transport::RaftEnvelope& message,
                        base::TimePoint now) {
  replica_.handle(from, message, now);
}

void Controller::handle(base::NodeId from, const transport::CommandRequest& message,
                        base::TimePoint now) {
  if (message.kind == transport::CommandKind::kQuery) {
    replica_.handle(from, message, now);
    return;
  }
  const auto respond = [this, from, group = message.group, call = message.call](
                           CommandStatus status, base::Bytes payload) {
    const base::NodeId leader = replica_.raft().leader();
    actions_.messages.push_back(
        {from, transport::CommandResponse{group, call, status, leader, std::move(payload)}});
  };
  const auto command = base::decode<ControlCommand>(message.payload);
  if (!command) {
    return;
  }
  const bool isLeader = submit(*command, now, [respond](const ChangeOutcome* outcome) {
    if (outcome == nullptr) {
      respond(CommandStatus::kUnavailable, {});
    } else {
      respond(CommandStatus::kOk, base::encode(*outcome));
    }
  });
  if (!isLeader) {
    respond(CommandStatus::kNotLeader, {});
  }
}

void Controller::handle(base::NodeId from, const transport::MembershipRequest& message,
                        base::TimePoint now) {
  replica_.handle(from, message, now);
}

bool Controller::submit(const ControlCommand& command, base::TimePoint now,
                        ChangeCompletion completion) {
  return replica_.propose(base::encode(command), now,
                          [this, completion = std::move(completion)](
                              const base::Bytes* result, consensus::LogIndex /*index*/) {
                            const auto outcome = result == nullptr
                                                     ? std::nullopt
                                                     : base::decode<ChangeOutcome>(*result);
                            if (!outcome) {
                              completion(nullptr);
                            } else if (outcome->status != ChangeStatus::kAccepted ||
                                       settings_.mutants.acceptBeforeInForce) {
                              completion(&*outcome);
                            } else {
                              m_pendingChanges.push_back({*outcome, completion});
                            }
                          });
}

void Controller::handle(base::NodeId from, const transport::WatchRequest& message,
                        base::TimePoint now) {
  if (!holdsLeaderLease(now)) {
    actions_.messages.push_back({from, transport::WatchRedirect{replica_.raft().leader()}});
    return;
  }
  if (message.draining) {
    leases_.release(from);
    watchers_.erase(from);
    return;
  }
  if (isWaitingForMachineList(now)) {
    return;  // the gateway repeats the request
  }
  transport::WatchResponse response;
  response.incarnation = message.incarnation;
  response.sequence = message.sequence;
  response.lease = leases_.grant(from, message.incarnation, message.revision, now);
  response.delta = state_.deltaSince(message.revision);
  watchers_[from] = {message.incarnation, state_.revision()};
  actions_.messages.push_back({from, std::move(response)});
}

void Controller::onMachineList(const std::vector<MachineListEntry>& machines, base::TimePoint now) {
  if (!holdsLeaderLease(now)) {
    return;
  }
  m_machineListTerm = replica_.raft().currentTerm();
  for (const MachineListEntry& machine : machines) {
    const auto known = state_.engines().find(machine.engine.engine);
    const bool changed = known == state_.engines().end() ||
                         known->second.incarnation < machine.engine.incarnation ||
                         (known->second.incarnation == machine.engine.incarnation &&
                          known->second.draining != machine.engine.draining);
    if (changed) {
      const ControlCommand command{{}, RegisterEngine{machine.engine}};
      const bool proposed = replica_.propose(
          base::encode(command), now, [this](const base::Bytes*, auto) { --m_pendingListChanges; });
      m_pendingListChanges += proposed ? 1 : 0;
    }
  }
}

void Controller::onCommandReply(const engine::EngineCommandReply& reply, base::TimePoint now) {
  rollout_.onReply(reply, now);
}

void Controller::tick(base::TimePoint now) {
  replica_.tick(now);
  if (leases_.dropExpired(now)) {
    std::erase_if(watchers_,
                  [&](const auto& entry) { return !leases_.leases().contains(entry.first); });
  }
  sendEngineCommands(now);
}

ControllerActions Controller::finish(base::TimePoint now) {
  replica_.finish(now, actions_.messages);
  observeLeadership(now);
  pushChanges(now);
  completeAppliedChanges(now);
  return std::exchange(actions_, {});
}

bool Controller::holdsLeaderLease(base::TimePoint now) const { return replica_.canRead(now); }

bool Controller::isWaitingForMachineList(base::TimePoint now) const {
  const bool unknown =
      m_machineListTerm != replica_.raft().currentTerm() || m_pendingListChanges > 0;
  return unknown && now - replica_.raft().leaderSince() < settings_.machineListTimeout;
}

void Controller::observeLeadership(base::TimePoint now) {
  const consensus::RaftConsensus& raft = replica_.raft();
  const bool newTerm = raft.isLeader() && (!was_leader_ || observed_term_ != raft.currentTerm());
  if (newTerm) {
    leases_.onBecameLeader(now);
    rollout_.reset();
    watchers_.clear();
    pushed_revision_ = {};
  }
  was_leader_ = raft.isLeader();
  observed_term_ = raft.currentTerm();
}

void Controller::completeAppliedChanges(base::TimePoint now) {
  for (PendingChange& pending : std::exchange(m_pendingChanges, {})) {
    if (!replica_.raft().isLeader()) {
      pending.completion(nullptr);
    } else if (holdsLeaderLease(now) &&
               leases_.isAppliedEverywhere(pending.outcome.revision, now)) {
      pending.completion(&pending.outcome);
    } else {
      m_pendingChanges.push_back(std::move(pending));
    }
  }
}

void Controller::pushChanges(base::TimePoint now) {
  // Avoids a loop over all watchers in turns without changes.
  if (pushed_revision_ == state_.revision() || !holdsLeaderLease(now)) {
    return;
  }
  pushed_revision_ = state_.revision();
  for (auto& [gateway, watcher] : watchers_) {
    if (watcher.sent >= state_.revision()) {
      continue;
    }
    transport::WatchResponse push;
    push.incarnation = watcher.incarnation;
    push.delta = state_.deltaSince(watcher.sent);
    watcher.sent = state_.revision();
    actions_.messages.push_back({gateway, std::move(push)});
  }
}

void Controller::sendEngineCommands(base::TimePoint now) {
  constexpr base::Duration kRolloutInterval = base::milliseconds(40);
  if (now - m_rolloutAt < kRolloutInterval || !holdsLeaderLease(now)) {
    return;
  }
  m_rolloutAt = now;
  const auto commands =
      rollout_.step(state_.engines(), state_.weights(), replica_.raft().currentTerm(), now);
  actions_.engineCommands.insert(actions_.engineCommands.end(), commands.begin(), commands.end());
}

}  // namespace tackpick::control
