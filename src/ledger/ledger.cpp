#include "ledger/ledger.h"

#include <utility>

namespace tackpick::ledger {

Ledger::Ledger(base::NodeId self, base::GroupId group, LedgerSettings settings,
               consensus::LogStore& log, base::Random& random, base::TimePoint now)
    : settings_(settings),
      state_(settings.state),
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
      m_lastContactAt[{heartbeat->gateway, heartbeat->incarnation}] = now;
    }
    replica_.handle(from, message, now);
    return;
  }
  auto operation = base::decode<LedgerOperation>(message.payload);
  if (!operation) {
    return;
  }
  if (const auto* lease = std::get_if<LeaseSamples>(&*operation)) {
    m_lastContactAt[{lease->gateway, lease->incarnation}] = now;
  }
  transport::CommandRequest stamped = message;
  stamped.payload = base::encode(LedgerCommand{m_wallClockSeconds, std::move(*operation)});
  replica_.handle(from, stamped, now);
}

void Ledger::handle(base::NodeId from, const transport::MembershipRequest& message,
                    base::TimePoint now) {
  replica_.handle(from, message, now);
}

void Ledger::tick(base::TimePoint now, std::uint64_t wallClockSeconds) {
  m_wallClockSeconds = wallClockSeconds;
  replica_.tick(now);
  constexpr base::Duration kCheckInterval = base::milliseconds(250);
  if (now - m_lastHolderCheckAt >= kCheckInterval) {
    m_lastHolderCheckAt = now;
    releaseTimedOutHolders(now);
  }
}

void Ledger::releaseTimedOutHolders(base::TimePoint now) {
  if (!replica_.canRead(now)) {
    m_lastContactAt.clear();
    return;
  }
  const std::set<LeaseHolder> leaseHolders = state_.leaseHolders();
  std::erase_if(m_lastContactAt,
                [&](const auto& entry) { return !leaseHolders.contains(entry.first); });
  for (const LeaseHolder& holder : leaseHolders) {
    // A new leader has no contact times, so the timeout of each holder starts now.
    const auto [lastContact, added] = m_lastContactAt.try_emplace(holder, now);
    if (now - lastContact->second < settings_.gatewayTimeout) {
      continue;
    }
    const LedgerCommand command{m_wallClockSeconds,
                                ReleaseLeases{holder.gateway, holder.incarnation}};
    replica_.propose(base::encode(command), now, [](const base::Bytes*, auto) {});
    lastContact->second = now;
  }
}

transport::Outbox Ledger::finish(base::TimePoint now) {
  transport::Outbox outbox;
  replica_.finish(now, outbox);
  return outbox;
}

}  // namespace tackpick::ledger
