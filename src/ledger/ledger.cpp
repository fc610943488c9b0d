#include "ledger/ledger.h"

#include <utility>

namespace tackpick::ledger {

Ledger::Ledger(base::NodeId self, base::GroupId group, LedgerSettings settings,
               consensus::LogStore& log, base::Random& random, base::TimePoint now)
    : settings_(settings),
      state_(settings.limits),
      replica_(self, group, settings.replica, log, state_, random, now) {}

void Ledger::handle(base::NodeId from, const transport::RaftEnvelope& message,
                    base::TimePoint now) {
  replica_.handle(from, message, now);
}

void Ledger::handle(base::NodeId from, const transport::CommandRequest& message,
                    base::TimePoint now) {
  if (message.kind == transport::CommandKind::kQuery) {
    const auto query = base::decode<LedgerQuery>(message.payload);
    const auto* heartbeat = query ? std::get_if<GatewayHeartbeat>(&*query) : nullptr;
    if (heartbeat != nullptr) {
      last_heard_[{heartbeat->gateway, heartbeat->incarnation}] = now;
    }
    replica_.handle(from, message, now);
    return;
  }
  auto operation = base::decode<LedgerOperation>(message.payload);
  if (!operation) {
    return;
  }
  if (const auto* lease = std::get_if<LeaseSamples>(&*operation)) {
    last_heard_[{lease->gateway, lease->incarnation}] = now;
  }
  transport::CommandRequest stamped = message;
  stamped.payload = base::encode(LedgerCommand{wall_seconds_, std::move(*operation)});
  replica_.handle(from, stamped, now);
}

void Ledger::handle(base::NodeId from, const transport::MembershipRequest& message,
                    base::TimePoint now) {
  replica_.handle(from, message, now);
}

void Ledger::tick(base::TimePoint now, std::uint64_t wallSeconds) {
  wall_seconds_ = wallSeconds;
  replica_.tick(now);
  constexpr base::Duration kCheckInterval = base::milliseconds(250);
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    releaseSilentHolders(now);
  }
}

void Ledger::releaseSilentHolders(base::TimePoint now) {
  if (!replica_.canRead(now)) {
    last_heard_.clear();
    return;
  }
  const std::set<SampleHolder> holders = state_.holders();
  std::erase_if(last_heard_, [&](const auto& entry) { return !holders.contains(entry.first); });
  for (const SampleHolder& holder : holders) {
    // A new leader has heard nobody yet and gives everyone the whole timeout.
    const auto [heard, added] = last_heard_.try_emplace(holder, now);
    if (now - heard->second < settings_.gatewayTimeout) {
      continue;
    }
    const LedgerCommand command{wall_seconds_, ReleaseLeases{holder.gateway, holder.incarnation}};
    replica_.propose(base::encode(command), now, [](const base::Bytes*, auto) {});
    heard->second = now;
  }
}

transport::Outbox Ledger::finish(base::TimePoint now) {
  transport::Outbox outbox;
  replica_.finish(now, outbox);
  return outbox;
}

}  // namespace tackpick::ledger
