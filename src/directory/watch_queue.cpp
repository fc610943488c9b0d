#include "directory/watch_queue.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// Maximum burst of full views, as time at fullViewBytesPerSecond.
constexpr base::Duration kMaxBurst = base::milliseconds(250);
/// Time without contact to any voter after which views for gateways contain all ledgers.
constexpr base::Duration kVoterTimeout = base::milliseconds(2500);

/// Removes non-voting ledgers, which gateways do not call, to keep views small in large clusters.
/// With 1,000 machines, 75 of 80 ledgers do not vote; a view with them has 951 bytes compressed,
/// 201 without.
void removeNonVoters(DirectoryView& view) {
  const bool isVoterReachable =
      std::any_of(view.ledgers.begin(), view.ledgers.end(), [&](const LedgerSummary& summary) {
        return view.ledgerVoters.contains(summary.node) && summary.silence < kVoterTimeout;
      });
  if (isVoterReachable) {
    std::erase_if(view.ledgers, [&](const LedgerSummary& summary) {
      return !view.ledgerVoters.contains(summary.node);
    });
  }
}

base::Bytes encodeReply(DirectoryView view, const Configuration& configuration,
                        base::WallTime clusterTime, const Watch& watch) {
  DirectoryReply reply{DirectoryStatus::kDone, {}, std::move(view)};
  reply.view->configurationVersion = configuration.version;
  reply.view->clusterTime = clusterTime;
  if (watch.node.role == NodeRole::kGateway) {
    removeNonVoters(*reply.view);
  }
  if (watch.configurationVersion < configuration.version) {
    reply.view->configuration = configuration;
    reply.view->configuration->document.clear();
  }
  compressView(reply);
  return base::encode(reply);
}

}  // namespace

void WatchQueue::add(const Caller& caller, Watch watch, base::TimePoint now) {
  const base::TimePoint deadline = now + watch.hold;
  m_pending.push_back({caller, std::move(watch), deadline});
}

base::Duration WatchQueue::interval(std::size_t nodes) const {
  return std::min(m_settings.maxInterval, m_settings.intervalPerNode * static_cast<int>(nodes));
}

void WatchQueue::refillTokens(base::TimePoint now) {
  const double rate = static_cast<double>(m_settings.fullViewBytesPerSecond);
  const auto maxTokens = static_cast<std::int64_t>(rate * base::toSeconds(kMaxBurst));
  const auto gained = m_refilledAt == base::TimePoint{}
                          ? maxTokens
                          : static_cast<std::int64_t>(rate * base::toSeconds(now - m_refilledAt));
  m_fullViewTokens = std::min(maxTokens, m_fullViewTokens + gained);
  m_refilledAt = now;
}

bool WatchQueue::isDue(const PendingWatch& pending, const ReplyPass& pass) {
  const Watch& watch = pending.watch;
  const bool hasChanges = watch.revision != pass.views.revision();
  const bool lacksConfiguration = watch.configurationVersion < pass.configuration.version;
  return lacksConfiguration || (hasChanges && (pass.broadcastDue || isUrgent(watch))) ||
         pass.now >= pending.deadline;
}

bool WatchQueue::tryReply(const PendingWatch& pending, ReplyPass& pass,
                          const SendReply& sendReply) {
  if (!isDue(pending, pass)) {
    return false;
  }
  const Watch& watch = pending.watch;
  const bool lacksConfiguration = watch.configurationVersion < pass.configuration.version;
  const bool full = pass.views.needsFullView(watch.revision);
  if (full && m_fullViewTokens <= 0) {
    // The full view is delayed. A new configuration or an expired watch gets a reply without
    // instances.
    if (!lacksConfiguration && pass.now < pending.deadline) {
      return false;
    }
    sendReply(pending.caller, encodeReply(pass.views.viewWithoutInstances(watch.revision),
                                          pass.configuration, pass.clusterTime, watch));
    return true;
  }
  const bool hasChanges = watch.revision != pass.views.revision();
  pass.broadcast = pass.broadcast || (hasChanges && pass.broadcastDue);
  base::Bytes& payload =
      pass.payloads[{watch.node.role, full ? 0 : watch.revision, watch.configurationVersion}];
  if (payload.empty()) {
    payload = encodeReply(pass.views.changesSince(watch.revision), pass.configuration,
                          pass.clusterTime, watch);
  }
  m_fullViewTokens -= full ? static_cast<std::int64_t>(payload.size()) : 0;
  sendReply(pending.caller, payload);
  return true;
}

void WatchQueue::sendReplies(const ViewHistory& views, const Configuration& configuration,
                             std::size_t nodes, base::WallTime clusterTime, base::TimePoint now,
                             const SendReply& sendReply) {
  refillTokens(now);
  ReplyPass pass{
      views, configuration, clusterTime, now, now - m_lastBroadcastAt >= interval(nodes), false,
      {}};
  for (const bool urgent : {true, false}) {
    std::erase_if(m_pending, [&](const PendingWatch& pending) {
      return isUrgent(pending.watch) == urgent && tryReply(pending, pass, sendReply);
    });
  }
  if (pass.broadcast) {
    m_lastBroadcastAt = now;
  }
}

void WatchQueue::rejectAll(const SendRejection& sendRejection) {
  for (const PendingWatch& pending : std::exchange(m_pending, {})) {
    sendRejection(pending.caller);
  }
}

}  // namespace tackpick::directory
