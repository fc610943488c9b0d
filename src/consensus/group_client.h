/// \file
/// Client of a replication group: finds the leader and resends calls until their deadline.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "transport/internal_messages.h"

namespace tackpick::consensus {

/// Settings of a GroupClient.
struct GroupClientSettings {
  base::GroupId group;
  std::vector<base::NodeId> replicas;
  /// Time after which an unanswered call is sent again.
  base::Duration resendInterval = base::milliseconds(700);
  /// Time after which a call ends without a result. Must exceed the maximum time until a change
  /// takes effect.
  base::Duration deadline = base::seconds(12);
  /// Rate at which a call is at least transferred. Delays resending by the time that this takes.
  std::size_t minBytesPerSecond = 8U << 20U;
};

/// Timeouts of one call, which override those of GroupClientSettings.
struct CallTimeouts {
  base::Duration resendInterval{0};
  base::Duration deadline{0};
};

/// Sends calls to the leader of a replication group. Commands must be idempotent, as the client
/// repeats them until a replica answers. Owned by one thread.
class GroupClient {
 public:
  /// Receives the result, or nullptr if the outcome is unknown at the deadline.
  using Callback = std::function<void(const base::Bytes* result, base::TimePoint now)>;

  /// `firstCall` must differ between runs of the process, so that late responses are not mistaken
  /// for responses to other calls.
  GroupClient(GroupClientSettings settings, base::CallId firstCall)
      : settings_(std::move(settings)), next_call_(firstCall) {}

  void call(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
            transport::Outbox& outbox, Callback callback,
            std::optional<CallTimeouts> timeouts = std::nullopt);
  void onResponse(const transport::CommandResponse& response, base::TimePoint now,
                  transport::Outbox& outbox);
  void tick(base::TimePoint now, transport::Outbox& outbox);
  /// Must be called when the connection to a node is lost. Its calls are sent again soon.
  void onPeerLost(std::uint32_t number);
  /// Replaces the replicas to call; an empty list is ignored. `fallbackReplicas` are called only
  /// after no replica has answered, since each call to a lost machine costs a resend interval.
  void setReplicas(std::vector<base::NodeId> replicas,
                   std::vector<base::NodeId> fallbackReplicas = {});
  [[nodiscard]] base::GroupId group() const { return settings_.group; }
  /// Whether another copy of the call whose callback is being called may still arrive at a replica.
  [[nodiscard]] bool anotherCopyMayArrive() const { return m_anotherCopyMayArrive; }
  /// Returns the number of calls without a result.
  [[nodiscard]] std::size_t outstanding() const { return calls_.size(); }

 private:
  struct Call {
    transport::CommandRequest request;
    base::TimePoint sentAt{};
    base::NodeId sentTo;
    bool resendSoon = false;  ///< to be sent again after kRetryDelay
    base::TimePoint deadline{};
    base::Duration resendInterval{0};
    std::size_t unansweredSends = 0;
    Callback callback;
  };

  /// Returns the node to which calls are sent: the leader if known, otherwise the next replica.
  [[nodiscard]] base::NodeId target() const;
  void tryNextReplica();
  void send(Call& call, base::TimePoint now, transport::Outbox& outbox) const;

  GroupClientSettings settings_;
  base::CallId next_call_;
  base::NodeId leader_;
  std::size_t m_replicaIndex = 0;    ///< next replica while no leader is known
  std::size_t m_failedAttempts = 0;  ///< attempts since the last successful response
  std::vector<base::NodeId> m_fallbackReplicas;
  std::map<base::CallId, Call> calls_;
  bool m_anotherCopyMayArrive = false;
};

}  // namespace tackpick::consensus
