/// \file
/// Number of engine slots that a gateway can serve.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Resources and load of a gateway, as reported to the ledgers' leader. Zero: unknown.
struct GatewayCapacity {
  double cpuCores = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t fileDescriptors = 0;
  double linkMbps = 0;
  std::uint64_t bufferedTextBytes = 0;  ///< text of running items
  base::Duration eventLoopLag{0};       ///< see base::EventLoopLag

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cpuCores, memoryMb, fileDescriptors, linkMbps, bufferedTextBytes, eventLoopLag);
  }
};

/// Bounds of the result of slotsFor().
inline constexpr std::uint32_t kMinGatewaySlots = 6;
inline constexpr std::uint32_t kMaxGatewaySlots = 48;

/// Returns the number of engine slots that a gateway with `capacity` can serve; std::nullopt if
/// all resources are unknown. Implausible values count as unknown.
[[nodiscard]] std::optional<std::uint32_t> slotsFor(const GatewayCapacity& capacity);

/// Returns the memory that the requests of the items of a gateway with `capacity` may take.
[[nodiscard]] std::size_t maxItemBytes(const GatewayCapacity& capacity);

}  // namespace tackpick::jobs
