#include "directory/watch_queue.h"

#include <algorithm>

namespace tackpick::directory {
namespace {

base::Bytes encodeAnswer(const ViewHistory& views, const Configuration& configuration,
                         base::WallTime clusterTime, const Watch& watch) {
  DirectoryReply reply{DirectoryStatus::kDone, {}, views.since(watch.revision)};
  reply.view->configurationVersion = configuration.version;
  reply.view->clusterTime = clusterTime;
  if (watch.configurationVersion < configuration.version) {
    reply.view->configuration = configuration;
    reply.view->configuration->document.clear();
  }
  packView(reply);
  return base::encode(reply);
}

}  // namespace

void WatchQueue::add(const Caller& caller, Watch watch, base::TimePoint now) {
  const base::TimePoint until = now + watch.hold;
  m_pending.push_back({caller, std::move(watch), until});
}

base::Duration WatchQueue::interval(std::size_t nodes) const {
  return std::min(m_pacing.longestInterval, m_pacing.intervalPerNode * static_cast<int>(nodes));
}

void WatchQueue::answer(const ViewHistory& views, const Configuration& configuration,
                        std::size_t nodes, base::WallTime clusterTime, base::TimePoint now,
                        const Answer& answer) {
  const bool due = now - m_answeredAt >= interval(nodes);
  bool told = false;
  std::map<Holding, base::Bytes> payloads;
  std::erase_if(m_pending, [&](const Pending& pending) {
    const Watch& watch = pending.watch;
    const bool news = watch.revision != views.revision();
    const bool urgent = watch.node.role == NodeRole::kLedger || watch.revision == 0;
    const bool lacksConfiguration = watch.configurationVersion < configuration.version;
    if (!lacksConfiguration && !(news && (due || urgent)) && now < pending.until) {
      return false;
    }
    told = told || (news && due);
    base::Bytes& payload = payloads[{watch.revision, watch.configurationVersion}];
    if (payload.empty()) {
      payload = encodeAnswer(views, configuration, clusterTime, watch);
    }
    answer(pending.caller, payload);
    return true;
  });
  if (told) {
    m_answeredAt = now;
  }
}

void WatchQueue::refuseAll(const Refuse& refuse) {
  for (const Pending& pending : std::exchange(m_pending, {})) {
    refuse(pending.caller);
  }
}

}  // namespace tackpick::directory
