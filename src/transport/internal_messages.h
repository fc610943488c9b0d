/// \file
/// Messages of the internal protocol between the processes of a cluster. InternalMessage is encoded
/// with cereal and framed as described in transport/connection.h.
#pragma once

#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"
#include "consensus/raft_types.h"
#include "control/control_delta.h"

namespace tackpick::transport {

/// Version of the internal protocol. Peers with another version are rejected in the handshake.
inline constexpr std::uint32_t kProtocolVersion = 2;

/// A Raft message and its addressee.
struct RaftEnvelope {
  base::GroupId group;
  /// Identity of the addressee. A node that lost its disk has the address of its previous identity
  /// and must ignore messages to it.
  base::NodeId to;
  consensus::RaftMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, to, message);
  }
};

enum class CommandKind : std::uint8_t {
  kCommand,     ///< appended to the Raft log
  kQuery,       ///< answered by the leader under its lease
  kLeaderCall,  ///< handled on the leader by the role that owns the group
};

/// A call to a replication group.
struct CommandRequest {
  base::GroupId group;
  base::CallId call;
  CommandKind kind = CommandKind::kCommand;
  base::Bytes payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, call, kind, payload);
  }
};

enum class CommandStatus : std::uint8_t {
  kOk,           ///< `payload` is the result
  kNotLeader,    ///< this node is not the leader; `leader` is the leader if known
  kUnavailable,  ///< leadership was lost; the command may or may not take effect
};

struct CommandResponse {
  base::GroupId group;
  base::CallId call;
  CommandStatus status = CommandStatus::kUnavailable;
  base::NodeId leader;
  base::Bytes payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, call, status, leader, payload);
  }
};

/// Sent by each gateway to the controllers as a heartbeat, to acknowledge the configuration
/// revision and to renew its serving lease.
struct WatchRequest {
  base::Incarnation incarnation;  ///< of the gateway process
  std::uint64_t sequence = 0;     ///< echoed; identifies the send time from which the lease runs
  base::Revision revision;        ///< configuration that the gateway has applied
  bool draining = false;          ///< whether the gateway releases its lease

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, revision, draining);
  }
};

/// Response of the controllers' leader. Also pushed without a lease when the configuration changes.
struct WatchResponse {
  base::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< zero in a push
  base::Duration lease{0};     ///< duration, starting when the request was sent
  control::ControlDelta delta;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, lease, delta);
  }
};

/// Response of a controller that is not the leader, with the leader if known.
struct WatchRedirect {
  base::NodeId leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leader);
  }
};

/// Requests that a controller adds or removes a replica of a group that it belongs to.
struct MembershipRequest {
  base::GroupId group;
  base::CallId call;
  base::NodeId node;
  bool remove = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, call, node, remove);
  }
};

using InternalMessage = std::variant<RaftEnvelope, CommandRequest, CommandResponse, WatchRequest,
                                     WatchResponse, WatchRedirect, MembershipRequest>;

struct OutgoingMessage {
  base::NodeId to;
  InternalMessage message;
};

/// Messages that a decision module sends, in order.
using Outbox = std::vector<OutgoingMessage>;

}  // namespace tackpick::transport
