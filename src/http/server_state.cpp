/// \file
/// Limits over all connections of a server.
#include <algorithm>

#include "http/server_connection.h"

namespace tackpick::http {

std::size_t ServerState::maxLongBodyBytes() const {
  return limits.maxRequestBytes - spareForShortRequests();
}

bool ServerState::closeSilent(ShedReason reason, bool withUnfinishedBytes) {
  const auto found = std::find_if(silent.begin(), silent.end(), [&](const ServerConnection* one) {
    return !one->isWriting() && (!withUnfinishedBytes || one->unfinishedBytes() > 0);
  });
  if (found == silent.end()) {
    return false;
  }
  countShed(reason);
  (*found)->shared_from_this()->shed();
  return true;
}

void ServerState::enforceUnfinishedLimit() {
  while (unfinishedMemory->isOver() && closeSilent(ShedReason::kSilent, true)) {
  }
}

bool ServerState::giveUpSlowestBody(const ServerConnection& exceptFor, base::TimePoint now) {
  ServerConnection* slowest = nullptr;
  double slowestRate = 0;
  for (ServerConnection* connection : longBodies) {
    const std::optional<double> rate = connection->insufficientRate(now);
    const bool slower = rate && (slowest == nullptr || *rate < slowestRate);
    if (slower && connection != &exceptFor) {
      slowest = connection;
      slowestRate = *rate;
    }
  }
  if (slowest == nullptr) {
    return false;
  }
  slowest->shared_from_this()->giveUpBody();
  return true;
}

}  // namespace tackpick::http
