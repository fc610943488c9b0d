/// \file
/// Heartbeats taken by any controller and told to the leader together.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "directory/directory_messages.h"
#include "directory/directory_state.h"

namespace tackpick::directory {

/// Knobs of a HeartbeatRelay.
struct HeartbeatRelaySettings {
  /// What was heard is told this often. Gateways look at silences of seconds.
  base::Duration interval = base::milliseconds(200);
  /// A controller that has not heard the leader for longer takes no heartbeats itself.
  base::Duration contact = base::milliseconds(1500);
};

/// Most heartbeats only say that an instance is still there. The controller that gets such a one
/// answers it from its own copy of the directory. With 3,000 instances the leader then handles some
/// 15 messages a second instead of 2,500. Whatever changes a registration goes to the leader, and
/// is answered once a quorum holds it. Deterministic; owned by one thread.
///
/// A controller that hears no leader refuses what only confirms: to hold such heartbeats and send
/// them to one controller after the other until a leader is there would be, with 10,000 instances,
/// some 10,000 messages a second at each controller while an election is under way.
class HeartbeatRelay {
 public:
  explicit HeartbeatRelay(HeartbeatRelaySettings settings) : m_settings(settings) {}

  enum class Verdict : std::uint8_t {
    kAccepted,  ///< this controller answers
    kRefused,   ///< it hears no leader: another controller may
    kForward,   ///< it changes a registration: the leader decides
  };
  /// `lastContactAt`: when this controller last heard the leader.
  [[nodiscard]] Verdict take(const DirectoryState& state, const InstanceHeartbeat& heartbeat,
                             std::optional<base::TimePoint> lastContactAt, base::TimePoint now);
  /// What is to be told now; nothing while nothing was heard or a call is under way.
  [[nodiscard]] std::optional<RelayHeartbeats> due(base::TimePoint now);
  /// The call ended; `known`: the leader has it.
  void onTold(bool known);

 private:
  /// Instances whose versions are remembered.
  static constexpr std::size_t kMaxKnown = 20'000;

  const HeartbeatRelaySettings m_settings;
  std::map<std::string, RelayedHeartbeat> m_heard;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_told;  ///< versions, by instance
  bool m_telling = false;
  base::TimePoint m_toldAt{};
};

}  // namespace tackpick::directory
