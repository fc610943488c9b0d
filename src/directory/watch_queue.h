/// \file
/// Nodes that wait for news of the controllers' view.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
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
  base::Duration longestInterval = base::milliseconds(150);
};

/// Deterministic; owned by one thread. Ledgers, which place work, and whoever lacks a configuration
/// are answered at once, others together at intervals. Answers to nodes that hold the same view are
/// encoded once.
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
  /// Held view and configuration: nodes with the same get the same answer.
  using Holding = std::pair<std::uint64_t, std::uint64_t>;

  [[nodiscard]] base::Duration interval(std::size_t nodes) const;

  const WatchPacing m_pacing;
  std::vector<Pending> m_pending;
  base::TimePoint m_answeredAt{};  ///< when gateways were last told news
};

}  // namespace tackpick::directory
