#include "gateway/control_view.h"

#include <algorithm>
#include <utility>

namespace tackpick::gateway {

void ControlView::tick(base::TimePoint now, transport::Outbox& outbox) {
  if (now - m_lastRequestAt < settings_.watchInterval) {
    return;
  }
  const bool unresponsive = now - m_lastResponseAt > settings_.watchInterval * 2;
  if (unresponsive) {
    leader_ = {};
    ++m_nextController;
  }
  sendRequest(now, outbox);
}

void ControlView::sendRequest(base::TimePoint now, transport::Outbox& outbox) {
  constexpr std::size_t kMaxTrackedRequests = 64;
  m_lastRequestAt = now;
  ++sequence_;
  m_requestSentAt[sequence_] = now;
  if (m_requestSentAt.size() > kMaxTrackedRequests) {
    m_requestSentAt.erase(m_requestSentAt.begin());
  }
  const base::NodeId to =
      leader_.valid() ? leader_
                      : settings_.controllers.at(m_nextController % settings_.controllers.size());
  outbox.push_back(
      {to, transport::WatchRequest{settings_.incarnation, sequence_, revision_, false}});
}

bool ControlView::onWatchResponse(base::NodeId from, const transport::WatchResponse& response,
                                  base::TimePoint now, transport::Outbox& outbox) {
  if (response.incarnation != settings_.incarnation) {
    return false;
  }
  leader_ = from;
  m_lastResponseAt = now;
  const bool changed = applyDelta(response.delta);
  const auto sent = m_requestSentAt.find(response.sequence);
  if (sent != m_requestSentAt.end() && response.delta.to <= revision_) {
    constexpr int kHundredPercent = 100;
    const base::Duration effectiveLease =
        response.lease * (kHundredPercent - settings_.clockDriftPercent) / kHundredPercent;
    lease_end_ = std::max(lease_end_, sent->second + effectiveLease);
  }
  if (changed) {
    // Acknowledge without delay: a client may be waiting until this revision is in force.
    sendRequest(now, outbox);
  }
  return changed;
}

bool ControlView::applyDelta(const control::ControlDelta& delta) {
  const bool isStale = delta.to <= revision_ && !settings_.mutants.acceptStaleRevision;
  if (isStale || (!delta.full && delta.from > revision_)) {
    return false;
  }
  if (delta.full) {
    m_settingsTree = {};
    weights_.clear();
    credentials_.clear();
  }
  for (const control::SettingsNode& node : delta.nodes) {
    m_settingsTree.put(node);
  }
  for (const control::WeightsRecord& record : delta.weights) {
    weights_[record.model] = record;
  }
  for (const control::CredentialRecord& record : delta.credentials) {
    credentials_[record.tokenHash] = record;
  }
  const bool changed = delta.to != revision_;
  revision_ = delta.to;
  return changed;
}

void ControlView::onRedirect(base::NodeId from, const transport::WatchRedirect& redirect) {
  if (redirect.leader.valid() && redirect.leader != from) {
    leader_ = redirect.leader;
  } else if (leader_ == from) {
    leader_ = {};
    ++m_nextController;
  } else if (!leader_.valid()) {
    ++m_nextController;
  }
}

void ControlView::releaseLease(base::TimePoint /*now*/, transport::Outbox& outbox) {
  lease_end_ = {};
  for (const base::NodeId controller : settings_.controllers) {
    outbox.push_back(
        {controller, transport::WatchRequest{settings_.incarnation, ++sequence_, revision_, true}});
  }
}

base::WeightsVersion ControlView::publishedVersion(const std::string& model) const {
  const auto found = weights_.find(model);
  return found == weights_.end() ? base::WeightsVersion{} : found->second.version;
}

const control::CredentialRecord* ControlView::credential(const std::string& tokenHash) const {
  const auto found = credentials_.find(tokenHash);
  return found == credentials_.end() || found->second.removed ? nullptr : &found->second;
}

}  // namespace tackpick::gateway
