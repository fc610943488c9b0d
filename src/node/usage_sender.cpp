#include "node/usage_sender.h"

#include <algorithm>

#include "node/node.h"

namespace tackpick::node {
namespace {

/// Report interval, which grows with the number of gateways to limit the load of the leader.
constexpr base::Duration kReportInterval = base::milliseconds(100);
constexpr base::Duration kReportIntervalPerGateway = base::microseconds(1500);
constexpr base::Duration kReportTimeout = base::milliseconds(1500);

}  // namespace

UsageSender::UsageSender(Node& node) : m_node(node), m_counter(node.settings().usageWindow) {
  m_node.clusterMember().setUsageSource(
      [this] { return m_counter.snapshot(clusterTime(m_node.now())); });
}

base::WallTime UsageSender::clusterTime(base::TimePoint at) const {
  const base::Duration ago = m_node.now() - at;
  return m_clusterTime.at(at, m_node.wallClock().wallNow() - ago);
}

void UsageSender::onRequestStarted(const std::string& tenant, base::TimePoint at) {
  m_counter.onRequestStarted(tenant, clusterTime(at));
}

void UsageSender::onView(const directory::DirectoryView& view) {
  if (view.clusterTime != base::WallTime{}) {
    m_clusterTime.onLeaderTime(view.clusterTime, m_node.now());
  }
  if (view.firstOpenUsageWindow > 0) {
    m_counter.discardThrough(view.firstOpenUsageWindow - 1);
  }
}

base::Duration UsageSender::reportInterval() const {
  const auto gateways = static_cast<base::Duration::rep>(m_node.clusterMember().view().gateways);
  return std::max(kReportInterval, kReportIntervalPerGateway * gateways);
}

void UsageSender::tick() {
  const base::TimePoint now = m_node.now();
  if (m_reporting || isReported() || now - m_lastReportAt < reportInterval()) {
    return;
  }
  m_reporting = true;
  m_lastReportAt = now;
  const std::uint64_t revision = m_counter.revision();
  const directory::ReportUsage report{m_counter.snapshot(clusterTime(now))};
  m_node.clusterMember().call(directory::DirectoryRequest{report}, kReportTimeout, now,
                              [this, revision](const directory::DirectoryReply* reply) {
                                m_reporting = false;
                                m_reportedRevision =
                                    reply == nullptr ? m_reportedRevision : revision;
                              });
  m_node.scheduleIteration();
}

}  // namespace tackpick::node
