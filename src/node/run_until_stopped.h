/// \file
/// Runs a process of a self-formed cluster through failures of its disk.
#pragma once

#include "config/cluster_settings.h"
#include "edge/api_adapter.h"

namespace tackpick::node {

/// Runs a node until its planned stop and returns the exit code. While its disk refuses writes the
/// process stays, without its replica, and opens its folder again every half second: others lead
/// meanwhile, and whoever restarts processes need not. Fails when the folder is damaged or belongs
/// to another node, which waiting does not mend.
[[nodiscard]] base::Result<int> runUntilStopped(const config::ClusterSettings& settings,
                                                const edge::ApiAdapter& apiAdapter);

}  // namespace tackpick::node
