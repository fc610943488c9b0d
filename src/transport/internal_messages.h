/// \file
/// Messages between the system's own processes. The whole internal protocol is this variant,
/// encoded by cereal and framed by transport/connection.h.
#pragma once

#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"
#include "consensus/raft_types.h"
#include "control/control_delta.h"

namespace tackpick::transport {

/// Version of this protocol; peers of another version are refused in the handshake.
inline constexpr std::uint32_t kProtocolVersion = 2;

struct RaftEnvelope {
  base::GroupId group;
  /// A machine that lost its disk is reached at the address of its lost identity, and must not
  /// take what was meant for that one.
  base::NodeId to;
  consensus::RaftMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, to, message);
  }
};

enum class CommandKind : std::uint8_t {
  kCommand,  ///< goes through the log
  kQuery,    ///< answered by the leader under its lease
  kService,  ///< decided by the role that owns the group, on its leader
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
  kNotLeader,    ///< not accepted here; try `leader` when it is valid
  kUnavailable,  ///< leadership was lost on the way: the command may or may not take effect
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

/// Sent by each gateway to the controllers, as heartbeat, acknowledgement of the revision it runs,
/// and request to renew its serving lease.
struct WatchRequest {
  base::Incarnation incarnation;  ///< of the gateway process
  std::uint64_t sequence = 0;     ///< echoed, so that the gateway can date the lease from sending
  base::Revision revision;        ///< the configuration in force in this gateway
  bool draining = false;          ///< gives the lease back

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, revision, draining);
  }
};

/// Answer of the leading controller; also pushed without a lease when the configuration changes.
struct WatchResponse {
  base::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< zero in a push
  base::Duration lease{0};     ///< the gateway may serve this long from sending the request
  control::ControlDelta delta;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, lease, delta);
  }
};

/// A controller that does not lead says who might.
struct WatchRedirect {
  base::NodeId leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leader);
  }
};

/// Asks a controller to add or remove a replica of a group it belongs to.
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

/// Messages that a decision module wants sent, in order.
using Outbox = std::vector<OutgoingMessage>;

}  // namespace tackpick::transport
