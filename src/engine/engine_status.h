/// \file
/// Status of an engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::engine {

/// Kind of work that an engine accepts; set by command.
enum class EngineRole : std::uint8_t { kMixed, kPrefillOnly, kDecodeOnly };

/// Status report of an engine. The load figures were measured `age` before the report was sent.
struct EngineStatus {
  base::EngineId engine;
  base::Incarnation incarnation;
  std::string model;
  base::WeightsVersion activeVersion;    ///< invalid while unknown after a failed swap
  base::WeightsVersion preparedVersion;  ///< loaded but not active
  EngineRole role = EngineRole::kMixed;
  bool draining = false;  ///< the engine rejects new requests
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
