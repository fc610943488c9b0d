/// \file
/// Roles of a process, and dispatch of messages to them.
#pragma once

#include <vector>

#include "control/controller.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"

namespace tackpick::roles {

/// Roles of a process; null or empty if it does not have a role. Does not own the roles.
struct RoleSet {
  control::Controller* controller = nullptr;
  std::vector<ledger::Ledger*> ledgers;
  gateway::Gateway* gateway = nullptr;
};

/// Passes a message of another process to its role. Ignores the message if the process does not
/// have this role.
void deliver(const RoleSet& roles, base::NodeId from, const transport::InternalMessage& message,
             base::TimePoint now);

}  // namespace tackpick::roles
