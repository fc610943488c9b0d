/// \file
/// Nodes that wait for news of the controllers' view.
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

/// Knobs of a WatchQueue.
struct WatchPacing {
  /// Gateways are told news together, no more often than this for each node that watches: at 300
  /// nodes eight times a second. One answer costs the leader 20 to 40 microseconds.
  base::Duration intervalPerNode = base::microseconds(400);
  /// At 2,500 nodes; engines that leave must be known in time everywhere, which is 2 s and more.
  base::Duration maxInterval = base::milliseconds(1000);
  /// Whole views are told no faster than this. After a change of leader every node wants one, at
  /// 10,000 instances 0.3 MB each by estimate: 1,000 at once would be 300 MB in the leader's
  /// memory, and as long on its way as its link of 1 Gbit/s needs for them. This takes a third of
  /// that link.
  std::size_t wholeBytesPerSecond = 40U << 20U;
};

/// Deterministic; owned by one thread. Ledgers, which place work, and whoever lacks a configuration
/// are answered at once, others together at intervals. Answers to nodes that hold the same view are
/// encoded once. Whole views are told some at a time, first to ledgers and to nodes that have none;
/// who waits for one goes on with what it holds and is told the rest meanwhile.
class WatchQueue {
 public:
  using Caller = cluster::ServiceCaller;
  /// Sends an encoded DirectoryReply.
  using Answer = std::function<void(const Caller& caller, const base::Bytes& payload)>;
  using Refuse = std::function<void(const Caller& caller)>;

  explicit WatchQueue(WatchPacing pacing) : m_pacing(pacing) {}

  void add(const Caller& caller, Watch watch, base::TimePoint now);
  /// Answers whoever is to be told something now, or has waited as long as it wanted.
  void answer(const ViewHistory& views, const Configuration& configuration, std::size_t nodes,
              base::WallTime clusterTime, base::TimePoint now, const Answer& answer);
  /// This controller does not lead.
  void refuseAll(const Refuse& refuse);

 private:
  struct Pending {
    Caller caller;
    Watch watch;
    base::TimePoint until{};
  };
  /// Role, held view and configuration: nodes with the same get the same answer.
  using Holding = std::tuple<NodeRole, std::uint64_t, std::uint64_t>;
  /// What is told in one call of answer().
  struct Round {
    const ViewHistory& views;
    const Configuration& configuration;
    base::WallTime clusterTime;
    base::TimePoint now{};
    bool due = false;   ///< gateways are told news again
    bool told = false;  ///< ... and were
    std::map<Holding, base::Bytes> payloads;
  };

  [[nodiscard]] base::Duration interval(std::size_t nodes) const;
  [[nodiscard]] static bool isUrgent(const Watch& watch) {
    return watch.node.role == NodeRole::kLedger || watch.revision == 0;
  }
  [[nodiscard]] static bool isDue(const Pending& pending, const Round& round);
  /// False when the node must wait on.
  bool answerOne(const Pending& pending, Round& round, const Answer& answer);
  void refillWholeBytes(base::TimePoint now);

  const WatchPacing m_pacing;
  std::vector<Pending> m_pending;
  base::TimePoint m_answeredAt{};  ///< when gateways were last told news
  base::TimePoint m_refilledAt{};
  std::int64_t m_wholeBytes = 0;  ///< that may be told now; below zero after a large view
};

}  // namespace tackpick::directory
