/// \file
/// Queue of pending watches (long polls) of nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/group_service.h"
#include "directory/directory_messages.h"
#include "directory/view_history.h"

namespace tackpick::directory {

/// Settings of WatchQueue.
struct WatchQueueSettings {
  /// Minimum interval between broadcasts of changes to gateways, per watching node. One reply costs
  /// the leader 20 to 40 microseconds; with 300 nodes there are eight broadcasts per second.
  base::Duration intervalPerNode = base::microseconds(400);
  /// Upper bound of the broadcast interval, reached with 2,500 nodes. Must be short enough for
  /// nodes to notice draining engines in time, which is 2 s or more.
  base::Duration maxInterval = base::milliseconds(1000);
  /// Maximum rate of full views. Every node requests one after a change of leader; sending all at
  /// once would exhaust the leader's memory and network bandwidth: with 10,000 instances a view has
  /// an estimated 0.3 MB, 300 MB for 1,000 nodes. This rate is a third of a link of 1 Gbit/s.
  std::size_t fullViewBytesPerSecond = 40U << 20U;
};

/// Holds watches until there are changes or the watch times out. Ledgers, which assign work, and
/// nodes with an outdated configuration get a reply at once; other nodes get changes together at
/// intervals. Nodes that hold the same view share one encoded reply. Full views are rate-limited
/// and sent first to ledgers and to nodes without a view. A node that waits for a full view keeps
/// its current one; it gets a reply without instances if its watch times out or its configuration
/// is outdated. Deterministic; owned by one thread.
class WatchQueue {
 public:
  using Caller = cluster::ServiceCaller;
  /// Sends an encoded DirectoryReply.
  using SendReply = std::function<void(const Caller& caller, const base::Bytes& payload)>;
  using SendRejection = std::function<void(const Caller& caller)>;

  explicit WatchQueue(WatchQueueSettings settings) : m_settings(settings) {}

  void add(const Caller& caller, Watch watch, base::TimePoint now);
  /// Replies to watches that have changes due or have timed out.
  void sendReplies(const ViewHistory& views, const Configuration& configuration, std::size_t nodes,
                   base::WallTime clusterTime, base::TimePoint now, const SendReply& sendReply);
  /// Rejects all pending watches because this controller does not lead.
  void rejectAll(const SendRejection& sendRejection);

 private:
  struct PendingWatch {
    Caller caller;
    Watch watch;
    base::TimePoint deadline{};
  };
  /// Role, held revision and configuration version: watches with equal keys get the same reply.
  using ReplyKey = std::tuple<NodeRole, std::uint64_t, std::uint64_t>;
  /// State of one call of sendReplies().
  struct ReplyPass {
    const ViewHistory& views;
    const Configuration& configuration;
    base::WallTime clusterTime;
    base::TimePoint now{};
    bool broadcastDue = false;  ///< changes are broadcast to gateways in this pass
    bool broadcast = false;     ///< a change was broadcast
    std::map<ReplyKey, base::Bytes> payloads;
  };

  [[nodiscard]] base::Duration interval(std::size_t nodes) const;
  [[nodiscard]] static bool isUrgent(const Watch& watch) {
    return watch.node.role == NodeRole::kLedger || watch.revision == 0;
  }
  [[nodiscard]] static bool isDue(const PendingWatch& pending, const ReplyPass& pass);
  /// Returns false if the node must wait longer.
  bool tryReply(const PendingWatch& pending, ReplyPass& pass, const SendReply& sendReply);
  void refillTokens(base::TimePoint now);

  const WatchQueueSettings m_settings;
  std::vector<PendingWatch> m_pending;
  base::TimePoint m_lastBroadcastAt{};  ///< time of the last broadcast
  base::TimePoint m_refilledAt{};
  /// Bytes of full views that may be sent now; negative after a large view.
  std::int64_t m_fullViewTokens = 0;
};

}  // namespace tackpick::directory
