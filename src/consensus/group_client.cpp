#include "consensus/group_client.h"

#include <utility>

namespace tackpick::consensus {

using transport::CommandStatus;

void GroupClient::call(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                       transport::Outbox& outbox, Callback callback,
                       std::optional<CallTimeouts> timeouts) {
  Call call;
  call.request.group = settings_.group;
  call.request.call = next_call_;
  call.request.kind = kind;
  call.request.payload = std::move(payload);
  call.deadline = now + (timeouts ? timeouts->deadline : settings_.deadline);
  call.resendInterval = timeouts ? timeouts->resendInterval : settings_.resendInterval;
  // A copy that is sent before the first one can have arrived only adds load.
  call.resendInterval +=
      base::seconds(1) * call.request.payload.size() / settings_.minBytesPerSecond;
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
    m_failedAttempts = 0;
    const Callback callback = std::move(found->second.callback);
    m_anotherCopyMayArrive = found->second.unansweredSends > 1;
    calls_.erase(found);
    callback(&response.payload, now);
    return;
  }
  --found->second.unansweredSends;
  const bool sameLeader = leader_.valid() && response.leader == leader_;
  leader_ = response.leader;
  if (leader_.valid() && !sameLeader) {
    send(found->second, now, outbox);
    return;
  }
  // The replica names no other leader, so the next replica is tried after kRetryDelay.
  tryNextReplica();
  found->second.resendSoon = true;
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
    constexpr base::Duration kRetryDelay = base::milliseconds(50);
    if (now - call.sentAt >= (call.resendSoon ? kRetryDelay : call.resendInterval)) {
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
    call.resendSoon = call.resendSoon || base::nodeNumber(call.sentTo) == number;
  }
}

void GroupClient::setReplicas(std::vector<base::NodeId> replicas,
                              std::vector<base::NodeId> fallbackReplicas) {
  if (!replicas.empty()) {
    settings_.replicas = std::move(replicas);
    m_fallbackReplicas = std::move(fallbackReplicas);
  }
}

base::NodeId GroupClient::target() const {
  if (leader_.valid() || settings_.replicas.empty()) {
    return leader_;
  }
  const std::size_t step =
      m_failedAttempts % (settings_.replicas.size() + m_fallbackReplicas.size());
  return step < settings_.replicas.size()
             ? settings_.replicas[m_replicaIndex % settings_.replicas.size()]
             : m_fallbackReplicas[step - settings_.replicas.size()];
}

void GroupClient::tryNextReplica() {
  leader_ = {};
  ++m_replicaIndex;
  ++m_failedAttempts;
}

void GroupClient::send(Call& call, base::TimePoint now, transport::Outbox& outbox) const {
  call.sentAt = now;
  call.sentTo = target();
  call.resendSoon = false;
  ++call.unansweredSends;
  outbox.push_back({call.sentTo, call.request});
}

}  // namespace tackpick::consensus
