#include "gateway/control_view.h"

#include <algorithm>
#include <utility>

namespace tackpick::gateway {

void ControlView::tick(base::TimePoint now, transport::Outbox& outbox) {
  if (now - last_sent_at_ < settings_.watchInterval) {
    return;
  }
  const bool unresponsive = now - last_answer_at_ > settings_.watchInterval * 2;
  if (unresponsive) {
    leader_ = {};
    ++turn_;
  }
  sendRequest(now, outbox);
}

void ControlView::sendRequest(base::TimePoint now, transport::Outbox& outbox) {
  constexpr std::size_t kRememberedRequests = 64;
  last_sent_at_ = now;
  ++sequence_;
  sent_at_[sequence_] = now;
  if (sent_at_.size() > kRememberedRequests) {
    sent_at_.erase(sent_at_.begin());
  }
  const base::NodeId to =
      leader_.valid() ? leader_ : settings_.controllers.at(turn_ % settings_.controllers.size());
  outbox.push_back(
      {to, transport::WatchRequest{settings_.incarnation, sequence_, revision_, false}});
}

bool ControlView::onWatchResponse(base::NodeId from, const transport::WatchResponse& response,
                                  base::TimePoint now, transport::Outbox& outbox) {
  if (response.incarnation != settings_.incarnation) {
    return false;
  }
  leader_ = from;
  last_answer_at_ = now;
  const bool changed = applyDelta(response.delta);
  const auto sent = sent_at_.find(response.sequence);
  if (sent != sent_at_.end() && response.delta.to <= revision_) {
    constexpr int kWholePercent = 100;
    const base::Duration usable =
        response.lease * (kWholePercent - settings_.clockDriftPercent) / kWholePercent;
    lease_end_ = std::max(lease_end_, sent->second + usable);
  }
  if (changed) {
    // Acknowledge at once: somebody may be waiting for this revision to be in force.
    sendRequest(now, outbox);
  }
  return changed;
}

bool ControlView::applyDelta(const control::ControlDelta& delta) {
  const bool older = delta.to <= revision_ && !settings_.mutants.acceptOlderRevision;
  if (older || (!delta.full && delta.from > revision_)) {
    return false;
  }
  if (delta.full) {
    tree_ = {};
    weights_.clear();
    credentials_.clear();
  }
  for (const control::SettingsNode& node : delta.nodes) {
    tree_.put(node);
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
    ++turn_;
  } else if (!leader_.valid()) {
    ++turn_;
  }
}

void ControlView::leave(base::TimePoint /*now*/, transport::Outbox& outbox) {
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
