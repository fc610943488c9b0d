#include "roles/role_set.h"

namespace tackpick::roles {
namespace {

/// Passes a message to the roles that belong to its replication group.
template <typename Message>
void deliverToGroup(const RoleSet& roles, base::NodeId from, const Message& message,
                    base::TimePoint now) {
  if (roles.controller != nullptr && roles.controller->replica().group() == message.group) {
    roles.controller->handle(from, message, now);
  }
  for (ledger::Ledger* ledger : roles.ledgers) {
    if (ledger->replica().group() == message.group) {
      ledger->handle(from, message, now);
    }
  }
}

}  // namespace

void deliver(const RoleSet& roles, base::NodeId from, const transport::InternalMessage& message,
             base::TimePoint now) {
  if (const auto* raft = std::get_if<transport::RaftEnvelope>(&message)) {
    deliverToGroup(roles, from, *raft, now);
  } else if (const auto* command = std::get_if<transport::CommandRequest>(&message)) {
    deliverToGroup(roles, from, *command, now);
  } else if (const auto* membership = std::get_if<transport::MembershipRequest>(&message)) {
    deliverToGroup(roles, from, *membership, now);
  } else if (const auto* watch = std::get_if<transport::WatchRequest>(&message)) {
    if (roles.controller != nullptr) {
      roles.controller->handle(from, *watch, now);
    }
  } else if (roles.gateway != nullptr) {
    roles.gateway->onMessage(from, message, now);
  }
}

}  // namespace tackpick::roles
