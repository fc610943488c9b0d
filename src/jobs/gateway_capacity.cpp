#include "jobs/gateway_capacity.h"

#include <algorithm>
#include <initializer_list>

namespace tackpick::jobs {
namespace {

/// The rest is for callers' own requests, and for bursts.
constexpr double kProcessorForItems = 0.5;
constexpr double kLinkForItems = 0.5;
constexpr double kMemoryForItems = 0.25;
constexpr double kDescriptorsForItems = 0.25;

/// Half a millisecond for an item that runs for half a second, and a tenth of one for each of some
/// 20 events a second.
constexpr double kCoresPerSlot = 0.003;
/// 20 events of 2 KB a second, in and out again to the ledgers.
constexpr double kMbpsPerSlot = 0.64;
/// The request, the text and the buffers of its connections.
constexpr double kMegabytesPerSlot = 0.25;
/// A kept connection may wait beside the one in use.
constexpr double kDescriptorsPerSlot = 2;

constexpr double kMaxCores = 1024;
constexpr double kMaxMemoryMb = 1e8;
constexpr double kMaxDescriptors = 1e9;
constexpr double kMaxMbps = 1e7;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

std::optional<double> slots(double told, double most, double share, double perSlot) {
  const bool known = told > 0 && told <= most;  // false for what is no number, too
  return known ? std::optional(told * share / perSlot) : std::nullopt;
}

bool textsFillMemory(const GatewayCapacity& capacity) {
  const double bytes = capacity.memoryMb * kMemoryForItems * kBytesPerMegabyte;
  return bytes > 0 && static_cast<double>(capacity.bufferedTextBytes) > bytes;
}

}  // namespace

std::optional<std::uint32_t> slotsFor(const GatewayCapacity& capacity) {
  std::optional<double> fewest;
  for (const std::optional<double>& bound :
       {slots(capacity.cpuCores, kMaxCores, kProcessorForItems, kCoresPerSlot),
        slots(capacity.memoryMb, kMaxMemoryMb, kMemoryForItems, kMegabytesPerSlot),
        slots(capacity.fileDescriptors, kMaxDescriptors, kDescriptorsForItems, kDescriptorsPerSlot),
        slots(capacity.linkMbps, kMaxMbps, kLinkForItems, kMbpsPerSlot)}) {
    if (bound) {
      fewest = std::min(fewest.value_or(*bound), *bound);
    }
  }
  if (!fewest) {
    return std::nullopt;
  }
  if (textsFillMemory(capacity)) {
    return kMinGatewaySlots;
  }
  return static_cast<std::uint32_t>(
      std::clamp<double>(*fewest, kMinGatewaySlots, kMaxGatewaySlots));
}

}  // namespace tackpick::jobs
