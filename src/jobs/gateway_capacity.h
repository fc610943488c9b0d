/// \file
/// How many slots at engines a gateway can serve.
#pragma once

#include <cstdint>
#include <optional>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// What a gateway has, and how it fares, as it tells the ledgers' leader. Zero: unknown.
struct GatewayCapacity {
  double cpuCores = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t fileDescriptors = 0;
  double linkMbps = 0;
  std::uint64_t bufferedTextBytes = 0;  ///< of the items that it runs
  base::Duration eventLoopLag{0};       ///< how late its event loop ticks

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cpuCores, memoryMb, fileDescriptors, linkMbps, bufferedTextBytes, eventLoopLag);
  }
};

/// Bounds of what slotsFor() says.
inline constexpr std::uint32_t kMinGatewaySlots = 6;
inline constexpr std::uint32_t kMaxGatewaySlots = 48;

/// Slots at engines that a gateway of that capacity can serve; nothing when it tells none of what
/// bounds them. Values that no machine has count as unknown.
[[nodiscard]] std::optional<std::uint32_t> slotsFor(const GatewayCapacity& capacity);

}  // namespace tackpick::jobs
