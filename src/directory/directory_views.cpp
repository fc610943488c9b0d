/// \file
/// DirectoryRole: views sent to nodes.
#include <algorithm>
#include <utility>

#include "base/sorted_cursor.h"
#include "directory/directory_role.h"

namespace tackpick::directory {

using transport::CommandStatus;

namespace {

/// Interval at which the view is updated and watches are answered, and its minimum per registered
/// instance, which limits the CPU time of comparisons in large clusters to a twentieth: a
/// comparison takes half a microsecond per instance.
constexpr base::Duration kViewInterval = base::milliseconds(5);
constexpr base::Duration kViewIntervalPerInstance = base::microseconds(10);

}  // namespace

std::vector<cluster::GroupNode> DirectoryRole::nodesOf(NodeRole role, base::TimePoint now) const {
  std::vector<cluster::GroupNode> nodes;
  for (const auto& [node, knownNode] : nodes_) {
    if (knownNode.record.role == role) {
      nodes.push_back(
          {node, now - knownNode.lastSeenAt, state_.retirements().contains(knownNode.record.name)});
    }
  }
  return nodes;
}

std::vector<InstanceViewRef> DirectoryRole::currentInstances(base::TimePoint now) const {
  static const std::map<std::string, std::uint64_t> kNoVersions;
  std::vector<InstanceViewRef> instances;
  instances.reserve(state_.instances().size());
  base::SortedCursor reports(reports_);
  for (const auto& [id, record] : state_.instances()) {
    const ReportedEngine* report = reports.find(id);
    const base::TimePoint lastSeenAt = report == nullptr ? leader_since_ : report->lastSeenAt;
    InstanceViewRef instance;
    instance.record = &record;
    instance.versions = report == nullptr ? &kNoVersions : &report->versions;
    instance.unresponsive = now - lastSeenAt > settings_.overdueAfter;
    instance.loading = m_loadScheduler.isLoading(id, reports_, now);
    instance.standby = m_loadScheduler.isStandby(record);
    instances.push_back(instance);
  }
  return instances;
}

DirectoryView DirectoryRole::currentView(base::TimePoint now) const {
  DirectoryView view;
  view.publishedVersions = state_.versions();
  view.initialLedgerVoters = state_.initialLedgerVoters();
  view.ledgerVoters = ledger_voters_;
  const auto& voters = replica_.raft().membership().voters;
  view.controllers.assign(voters.begin(), voters.end());
  view.gateways = 0;
  for (const auto& [node, knownNode] : nodes_) {
    if (knownNode.record.role == NodeRole::kGateway) {
      view.gateways += now - knownNode.lastSeenAt < settings_.repair.heartbeatTimeout ? 1 : 0;
    } else if (knownNode.record.role == NodeRole::kLedger) {
      view.ledgers.push_back({node, now - knownNode.lastSeenAt,
                              state_.retirements().contains(knownNode.record.name),
                              knownNode.record.zone});
    }
  }
  view.gateways = std::max(view.gateways, 1U);
  view.heldRequests = state_.quarantine().heldRequests();
  view.firstOpenUsageWindow = state_.usage().nextWindow().value_or(0);
  view.allNodesSeen = allNodesSeen(now);
  return view;
}

void DirectoryRole::replyToWatches(base::TimePoint now) {
  if (!holdsLeaderLease(now)) {
    m_watchQueue.rejectAll(
        [&](const Caller& caller) { service_.reject(caller, CommandStatus::kNotLeader); });
    return;
  }
  const auto instances = static_cast<base::Duration::rep>(state_.instances().size());
  const base::Duration interval = std::max(kViewInterval, kViewIntervalPerInstance * instances);
  const bool recent = m_viewsUpdatedAt != base::TimePoint{} && now - m_viewsUpdatedAt < interval;
  if (recent) {
    return;
  }
  m_viewsUpdatedAt = now;
  m_viewHistory.update(currentInstances(now), currentView(now));
  m_watchQueue.sendReplies(
      m_viewHistory, state_.configuration(), nodes_.size(), clusterTime(now), now,
      [&](const Caller& caller, const base::Bytes& payload) { service_.reply(caller, payload); });
}

}  // namespace tackpick::directory
