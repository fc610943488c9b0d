#include "consensus/group_client.h"

#include <utility>

namespace tackpick::consensus {

using transport::CommandStatus;

void GroupClient::call(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                       transport::Outbox& outbox, Callback callback,
                       std::optional<CallTimes> times) {
  Call call;
  call.request.group = settings_.group;
  call.request.call = next_call_;
  call.request.kind = kind;
  call.request.payload = std::move(payload);
  call.deadline = now + (times ? times->deadline : settings_.deadline);
  call.resendInterval = times ? times->resendInterval : settings_.resendInterval;
  call.callback = std::move(callback);
  ++next_call_.value;
  send(call, now, outbox);
  calls_.emplace(call.request.call, std::move(call));
}

void GroupClient::onResponse(const transport::CommandResponse& response, base::TimePoint now,
                             transport::Outbox& outbox) {
  const auto found = calls_.find(response.call);
  if (found == calls_.end()) {
    return;
  }
  if (response.status == CommandStatus::kOk) {
    m_triesInVain = 0;
    const Callback callback = std::move(found->second.callback);
    calls_.erase(found);
    callback(&response.payload, now);
    return;
  }
  const bool knewBetter = leader_.valid() && response.leader == leader_;
  leader_ = response.leader;
  if (leader_.valid() && !knewBetter) {
    send(found->second, now, outbox);
    return;
  }
  // No leader is known there: the next replica is tried after a short pause.
  tryNextReplica();
  found->second.hurried = true;
}

void GroupClient::tick(base::TimePoint now, transport::Outbox& outbox) {
  std::vector<Callback> expired;
  bool moved = false;
  for (auto it = calls_.begin(); it != calls_.end();) {
    Call& call = it->second;
    if (now >= call.deadline) {
      expired.push_back(std::move(call.callback));
      it = calls_.erase(it);
      continue;
    }
    constexpr base::Duration kShortPause = base::milliseconds(50);
    if (now - call.sentAt >= (call.hurried ? kShortPause : call.resendInterval)) {
      if (!moved && call.sentTo == target()) {
        tryNextReplica();
        moved = true;
      }
      send(call, now, outbox);
    }
    ++it;
  }
  for (const Callback& callback : expired) {
    callback(nullptr, now);
  }
}

void GroupClient::onPeerLost(std::uint32_t number) {
  if (base::nodeNumber(leader_) == number) {
    tryNextReplica();
  }
  for (auto& [id, call] : calls_) {
    call.hurried = call.hurried || base::nodeNumber(call.sentTo) == number;
  }
}

void GroupClient::setReplicas(std::vector<base::NodeId> replicas,
                              std::vector<base::NodeId> others) {
  if (!replicas.empty()) {
    settings_.replicas = std::move(replicas);
    m_others = std::move(others);
  }
}

base::NodeId GroupClient::target() const {
  if (leader_.valid() || settings_.replicas.empty()) {
    return leader_;
  }
  const std::size_t step = m_triesInVain % (settings_.replicas.size() + m_others.size());
  return step < settings_.replicas.size() ? settings_.replicas[turn_ % settings_.replicas.size()]
                                          : m_others[step - settings_.replicas.size()];
}

void GroupClient::tryNextReplica() {
  leader_ = {};
  ++turn_;
  ++m_triesInVain;
}

void GroupClient::send(Call& call, base::TimePoint now, transport::Outbox& outbox) const {
  call.sentAt = now;
  call.sentTo = target();
  call.hurried = false;
  outbox.push_back({call.sentTo, call.request});
}

}  // namespace tackpick::consensus
