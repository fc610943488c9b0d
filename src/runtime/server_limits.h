/// \file
/// Limits of a process's listeners, derived from the resources of its machine.
#pragma once

#include <cstddef>

#include "config/resource_limits.h"
#include "http/exchange_server.h"

namespace tackpick::runtime {

/// Returns the limits of the listener for callers or operators, which shares the machine's memory
/// and descriptors with the rest of the process. Undeclared resources count as 256 MB and the
/// descriptors that the operating system allows, at most 4,096.
[[nodiscard]] http::ExchangeLimits serverLimits(const config::ResourceLimits& resources);

/// Returns the limits of a listener that takes only short requests, such as readiness probes.
[[nodiscard]] http::ExchangeLimits probeServerLimits(const config::ResourceLimits& resources);

/// Returns the maximum number of connections to engines and other servers.
[[nodiscard]] std::size_t maxUpstreamConnections(const config::ResourceLimits& resources);

/// Returns the maximum memory of the items of all jobs at a ledger. A ledger holds them in its
/// state, its log and its messages to other ledgers.
[[nodiscard]] std::size_t maxItemBytes(const config::ResourceLimits& resources);

/// Returns the maximum size of a ledger's replies with items or results in one iteration of its
/// event loop.
[[nodiscard]] std::size_t maxReplyBytes(const config::ResourceLimits& resources);

/// Returns the maximum memory of the messages that a process receives from its peers, and of those
/// that it queues for one of them.
[[nodiscard]] std::size_t maxPeerMessageBytes(const config::ResourceLimits& resources);

/// Returns the maximum number of inbound connections of peers that are not authenticated yet.
[[nodiscard]] std::size_t maxPeerHandshakes(const config::ResourceLimits& resources);

}  // namespace tackpick::runtime
