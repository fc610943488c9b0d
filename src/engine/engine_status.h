/// \file
/// What an engine reports of itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::engine {

/// Which work an engine takes; changed by order.
enum class EngineRole : std::uint8_t { kMixed, kPrefillOnly, kDecodeOnly };

/// A load report. It lags: the figures are those of `age` before it was sent.
struct EngineStatus {
  base::EngineId engine;
  base::Incarnation incarnation;
  std::string model;
  base::WeightsVersion activeVersion;    ///< none while a failed swap leaves it unknown
  base::WeightsVersion preparedVersion;  ///< loaded beside the active one
  EngineRole role = EngineRole::kMixed;
  bool draining = false;  ///< the engine's own flag
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t cacheBlocksUsed = 0;
  std::uint64_t cacheBlocksTotal = 0;
  base::Duration age{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, incarnation, model, activeVersion, preparedVersion, role, draining, slots,
            running, waiting, cacheBlocksUsed, cacheBlocksTotal, age);
  }
};

}  // namespace tackpick::engine
