/// \file
/// Fenced orders that controllers give engines.
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
  kPrepareWeights,   ///< fetch a version from the weight store beside the active one
  kActivateWeights,  ///< swap to a prepared version
  kSetRole,
};

/// An engine refuses an order whose fence is lower than the highest it has seen, so a controller
/// that was replaced without knowing it cannot command anything.
struct EngineCommand {
  base::Fence fence;
  EngineCommandKind kind = EngineCommandKind::kPrepareWeights;
  std::string model;    ///< kLoadModel
  std::string adapter;  ///< kLoadAdapter
  base::WeightsVersion version;
  EngineRole role = EngineRole::kMixed;
};

/// An order with the engine it is for.
struct OutgoingEngineCommand {
  base::EngineId engine;
  EngineCommand order;
};

enum class EngineCommandStatus : std::uint8_t {
  kAccepted,     ///< carried out or begun; repeating it is harmless
  kStaleFence,   ///< a newer controller has given orders
  kNotPrepared,  ///< activation of a version that is not loaded
  kFailed,       ///< the swap failed partway: the engine is out of service
};

struct EngineCommandReply {
  EngineCommandStatus status = EngineCommandStatus::kAccepted;
  EngineStatus state;  ///< after the order
};

}  // namespace tackpick::engine
