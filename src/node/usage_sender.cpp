#include "node/usage_sender.h"

#include <algorithm>

#include "node/node.h"

namespace tackpick::node {
namespace {

/// News are told this often, and where there are many gateways each tells less often: the leader
/// takes about 670 such calls a second at most, at 20 to 40 microseconds each.
constexpr base::Duration kTellInterval = base::milliseconds(100);
constexpr base::Duration kTellIntervalPerGateway = base::microseconds(1500);
constexpr base::Duration kTellDeadline = base::milliseconds(1500);

}  // namespace

UsageSender::UsageSender(Node& node) : m_node(node), m_counter(node.settings().usageWindow) {
  m_node.member().setUsageSource([this] { return m_counter.snapshot(clusterTime(m_node.now())); });
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

base::Duration UsageSender::tellInterval() const {
  const auto gateways = static_cast<base::Duration::rep>(m_node.member().view().gateways);
  return std::max(kTellInterval, kTellIntervalPerGateway * gateways);
}

void UsageSender::tick() {
  const base::TimePoint now = m_node.now();
  if (m_telling || isTold() || now - m_toldAt < tellInterval()) {
    return;
  }
  m_telling = true;
  m_toldAt = now;
  const std::uint64_t revision = m_counter.revision();
  const directory::ReportUsage told{m_counter.snapshot(clusterTime(now))};
  m_node.member().call(directory::DirectoryRequest{told}, kTellDeadline, now,
                       [this, revision](const directory::DirectoryReply* reply) {
                         m_telling = false;
                         m_told = reply == nullptr ? m_told : revision;
                       });
  m_node.wake();
}

}  // namespace tackpick::node
