/// \file
/// Runs a process of a self-formed cluster and recovers it from disk failures.
#pragma once

#include "config/cluster_settings.h"
#include "edge/api_adapter.h"

namespace tackpick::node {

/// Runs a node until its planned stop and returns the exit code. While its disk rejects writes, the
/// process keeps running without its replica and reopens its folder periodically. Fails if the
/// folder is damaged or belongs to another node.
[[nodiscard]] base::Result<int> runUntilStopped(const config::ClusterSettings& settings,
                                                const edge::ApiAdapter& apiAdapter);

}  // namespace tackpick::node
