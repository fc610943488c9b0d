/// \file
/// Relays heartbeats from the controller that received them to the leader in batches.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "directory/directory_messages.h"
#include "directory/directory_state.h"

namespace tackpick::directory {

/// Settings of HeartbeatRelay.
struct HeartbeatRelaySettings {
  /// Interval between two batches to the leader.
  base::Duration interval = base::milliseconds(200);
  /// Time without contact to the leader after which this controller accepts no heartbeats itself.
  base::Duration leaderTimeout = base::milliseconds(1500);
};

/// Lets any controller acknowledge heartbeats that change no registration and relays them to the
/// leader in batches, which limits the number of messages at the leader. Heartbeats that change a
/// registration are forwarded to the leader and acknowledged once committed. Without contact to the
/// leader, heartbeats are refused instead of being held, so that they do not accumulate at the
/// controllers during an election. Deterministic; owned by one thread.
class HeartbeatRelay {
 public:
  explicit HeartbeatRelay(HeartbeatRelaySettings settings) : m_settings(settings) {}

  enum class Verdict : std::uint8_t {
    kAccepted,  ///< acknowledged by this controller
    kRefused,   ///< no contact to the leader; the caller should try another controller
    kForward,   ///< the heartbeat changes a registration and must be handled by the leader
  };
  /// Decides how to handle a heartbeat. `lastContactAt`: time of the last contact with the leader.
  [[nodiscard]] Verdict accept(const DirectoryState& state, const InstanceHeartbeat& heartbeat,
                               std::optional<base::TimePoint> lastContactAt, base::TimePoint now);
  /// Returns the next batch; std::nullopt if there is none, a batch is in flight, or the interval
  /// has not passed.
  [[nodiscard]] std::optional<RelayHeartbeats> takeBatch(base::TimePoint now);
  /// Call when the request with the batch has ended; `acknowledged`: whether the leader
  /// acknowledged it.
  void onBatchAcknowledged(bool acknowledged);

 private:
  /// Maximum number of instances whose last sent versions are kept.
  static constexpr std::size_t kMaxKnownInstances = 20'000;

  const HeartbeatRelaySettings m_settings;
  std::map<std::string, RelayedHeartbeat> m_pending;
  /// Versions last sent, by instance.
  std::map<std::string, std::map<std::string, std::uint64_t>> m_sentVersions;
  bool m_inFlight = false;
  base::TimePoint m_sentAt{};
};

}  // namespace tackpick::directory
