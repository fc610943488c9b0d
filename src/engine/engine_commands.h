/// \file
/// Fenced commands of controllers to engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "engine/engine_status.h"

namespace tackpick::engine {

enum class EngineCommandKind : std::uint8_t {
  kLoadModel,
  kLoadAdapter,
  kPrepareWeights,   ///< load a version while the active one remains in use
  kActivateWeights,  ///< swap to a prepared version
  kSetRole,
};

/// Command of a controller to an engine. The engine rejects a command whose fence is lower than the
/// highest it has received, so a replaced controller cannot change the engine.
struct EngineCommand {
  base::Fence fence;
  EngineCommandKind kind = EngineCommandKind::kPrepareWeights;
  std::string model;    ///< used by kLoadModel
  std::string adapter;  ///< used by kLoadAdapter
  base::WeightsVersion version;
  EngineRole role = EngineRole::kMixed;
};

/// Command with its destination.
struct OutgoingEngineCommand {
  base::EngineId engine;
  EngineCommand command;
};

enum class EngineCommandStatus : std::uint8_t {
  kAccepted,     ///< executed or started; repeating it has no effect
  kStaleFence,   ///< a newer controller has sent commands
  kNotPrepared,  ///< the version to activate is not loaded
  kFailed,       ///< the last swap failed; the engine is out of service
};

struct EngineCommandReply {
  EngineCommandStatus status = EngineCommandStatus::kAccepted;
  EngineStatus state;  ///< after the command
};

}  // namespace tackpick::engine
