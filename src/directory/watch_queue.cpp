#include "directory/watch_queue.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

/// Of wholeBytesPerSecond, at most the part of so much time is told at once.
constexpr base::Duration kMaxBurst = base::milliseconds(250);
/// While no voter was heard within this time, any ledger may know better.
constexpr base::Duration kHeardRecently = base::milliseconds(2500);

/// Gateways call only ledgers that vote. The others, 75 of 80 with 1,000 machines, are left out:
/// they were most of what 1,000 gateways are told twice a second (951 bytes packed with them, 201
/// without).
void keepVoters(DirectoryView& view) {
  const bool heard =
      std::any_of(view.ledgers.begin(), view.ledgers.end(), [&](const LedgerSummary& summary) {
        return view.ledgerVoters.contains(summary.node) && summary.silence < kHeardRecently;
      });
  if (heard) {
    std::erase_if(view.ledgers, [&](const LedgerSummary& summary) {
      return !view.ledgerVoters.contains(summary.node);
    });
  }
}

base::Bytes encodeAnswer(DirectoryView view, const Configuration& configuration,
                         base::WallTime clusterTime, const Watch& watch) {
  DirectoryReply reply{DirectoryStatus::kDone, {}, std::move(view)};
  reply.view->configurationVersion = configuration.version;
  reply.view->clusterTime = clusterTime;
  if (watch.node.role == NodeRole::kGateway) {
    keepVoters(*reply.view);
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
  const base::TimePoint until = now + watch.hold;
  m_pending.push_back({caller, std::move(watch), until});
}

base::Duration WatchQueue::interval(std::size_t nodes) const {
  return std::min(m_pacing.maxInterval, m_pacing.intervalPerNode * static_cast<int>(nodes));
}

void WatchQueue::refillWholeBytes(base::TimePoint now) {
  const double rate = static_cast<double>(m_pacing.wholeBytesPerSecond);
  const auto most = static_cast<std::int64_t>(rate * base::toSeconds(kMaxBurst));
  const auto gained = m_refilledAt == base::TimePoint{}
                          ? most
                          : static_cast<std::int64_t>(rate * base::toSeconds(now - m_refilledAt));
  m_wholeBytes = std::min(most, m_wholeBytes + gained);
  m_refilledAt = now;
}

bool WatchQueue::isDue(const Pending& pending, const Round& round) {
  const Watch& watch = pending.watch;
  const bool news = watch.revision != round.views.revision();
  const bool lacksConfiguration = watch.configurationVersion < round.configuration.version;
  return lacksConfiguration || (news && (round.due || isUrgent(watch))) ||
         round.now >= pending.until;
}

bool WatchQueue::answerOne(const Pending& pending, Round& round, const Answer& answer) {
  if (!isDue(pending, round)) {
    return false;
  }
  const Watch& watch = pending.watch;
  const bool lacksConfiguration = watch.configurationVersion < round.configuration.version;
  const bool whole = round.views.needsFullView(watch.revision);
  if (whole && m_wholeBytes <= 0) {
    // Its turn comes later. What cannot wait is told without the instances.
    if (!lacksConfiguration && round.now < pending.until) {
      return false;
    }
    answer(pending.caller, encodeAnswer(round.views.withoutInstances(watch.revision),
                                        round.configuration, round.clusterTime, watch));
    return true;
  }
  const bool news = watch.revision != round.views.revision();
  round.told = round.told || (news && round.due);
  base::Bytes& payload =
      round.payloads[{watch.node.role, whole ? 0 : watch.revision, watch.configurationVersion}];
  if (payload.empty()) {
    payload = encodeAnswer(round.views.since(watch.revision), round.configuration,
                           round.clusterTime, watch);
  }
  m_wholeBytes -= whole ? static_cast<std::int64_t>(payload.size()) : 0;
  answer(pending.caller, payload);
  return true;
}

void WatchQueue::answer(const ViewHistory& views, const Configuration& configuration,
                        std::size_t nodes, base::WallTime clusterTime, base::TimePoint now,
                        const Answer& answer) {
  refillWholeBytes(now);
  Round round{views, configuration, clusterTime, now, now - m_answeredAt >= interval(nodes), false,
              {}};
  for (const bool urgent : {true, false}) {
    std::erase_if(m_pending, [&](const Pending& pending) {
      return isUrgent(pending.watch) == urgent && answerOne(pending, round, answer);
    });
  }
  if (round.told) {
    m_answeredAt = now;
  }
}

void WatchQueue::refuseAll(const Refuse& refuse) {
  for (const Pending& pending : std::exchange(m_pending, {})) {
    refuse(pending.caller);
  }
}

}  // namespace tackpick::directory
