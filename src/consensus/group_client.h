/// \file
/// Calls to a replication group: finds the leader, resends, gives up at a deadline.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "transport/internal_messages.h"

namespace tackpick::consensus {

/// Knobs of GroupClient.
struct GroupClientSettings {
  base::GroupId group;
  std::vector<base::NodeId> replicas;
  base::Duration resendInterval = base::milliseconds(700);
  /// Must exceed the longest wait for a change to be in force.
  base::Duration deadline = base::seconds(12);
};

/// Times of one call that differ from the client's settings.
struct CallTimes {
  base::Duration resendInterval{0};
  base::Duration deadline{0};
};

/// Every command must be safe to resend: the client repeats it until a replica answers. Owned by
/// one thread.
class GroupClient {
 public:
  /// Gets the result, or nothing when the outcome is unknown at the deadline.
  using Callback = std::function<void(const base::Bytes* result, base::TimePoint now)>;

  /// `firstCall` must differ between runs of the process, so that late answers are not confused.
  GroupClient(GroupClientSettings settings, base::CallId firstCall)
      : settings_(std::move(settings)), next_call_(firstCall) {}

  void call(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
            transport::Outbox& outbox, Callback callback,
            std::optional<CallTimes> times = std::nullopt);
  void onResponse(const transport::CommandResponse& response, base::TimePoint now,
                  transport::Outbox& outbox);
  void tick(base::TimePoint now, transport::Outbox& outbox);
  /// The connection to a node broke: calls sent there are sent again at the next tick.
  void onPeerLost(std::uint32_t number);
  /// Replaces the replicas to ask; an empty list is ignored. `others` may know the group, and are
  /// asked only once no replica has answered: a machine that is gone for good costs a resend
  /// interval each time that it is asked.
  void setReplicas(std::vector<base::NodeId> replicas, std::vector<base::NodeId> others = {});
  [[nodiscard]] base::GroupId group() const { return settings_.group; }
  [[nodiscard]] std::size_t outstanding() const { return calls_.size(); }

 private:
  struct Call {
    transport::CommandRequest request;
    base::TimePoint sentAt{};
    base::NodeId sentTo;
    bool hurried = false;  ///< to be sent again after a short pause
    base::TimePoint deadline{};
    base::Duration resendInterval{0};
    Callback callback;
  };

  [[nodiscard]] base::NodeId target() const;
  void tryNextReplica();
  void send(Call& call, base::TimePoint now, transport::Outbox& outbox) const;

  GroupClientSettings settings_;
  base::CallId next_call_;
  base::NodeId leader_;
  std::size_t turn_ = 0;
  std::size_t m_triesInVain = 0;  ///< since the last answer
  std::vector<base::NodeId> m_others;
  std::map<base::CallId, Call> calls_;
};

}  // namespace tackpick::consensus
