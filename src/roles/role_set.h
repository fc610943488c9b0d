/// \file
/// The roles that one process plays, and which of them a message is for.
#pragma once

#include <vector>

#include "control/controller.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"

namespace tackpick::roles {

/// Null and empty where the process does not play a role. The owner keeps the objects alive.
struct RoleSet {
  control::Controller* controller = nullptr;
  std::vector<ledger::Ledger*> ledgers;
  gateway::Gateway* gateway = nullptr;
};

/// Hands a message of another process to the role that it is for; others are dropped.
void deliver(const RoleSet& roles, base::NodeId from, const transport::InternalMessage& message,
             base::TimePoint now);

}  // namespace tackpick::roles
