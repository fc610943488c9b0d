#include "jobs/gateway_capacity.h"

#include <algorithm>
#include <initializer_list>

namespace tackpick::jobs {
namespace {

/// Shares of a gateway's resources that are budgeted for items. The rest is for callers' requests
/// and bursts.
constexpr double kCpuShare = 0.5;
constexpr double kLinkShare = 0.5;
constexpr double kMemoryShare = 0.25;
constexpr double kDescriptorShare = 0.25;

/// CPU time of the requests and of about 20 events per second of an item: half a millisecond for an
/// item that runs for half a second, and a tenth of a millisecond per event.
constexpr double kCoresPerSlot = 0.003;
/// About 20 events of 2 KB per second, received and sent on to the ledgers.
constexpr double kMbpsPerSlot = 0.64;
/// Memory of the request, the text and the connection buffers.
constexpr double kMegabytesPerSlot = 0.25;
/// One connection in use and one idle connection.
constexpr double kDescriptorsPerSlot = 2;

constexpr double kMaxCores = 1024;
constexpr double kMaxMemoryMb = 1e8;
constexpr double kMaxDescriptors = 1e9;
constexpr double kMaxMbps = 1e7;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

std::optional<double> slotBound(double reported, double maxValue, double share, double perSlot) {
  const bool known = reported > 0 && reported <= maxValue;  // false for NaN
  return known ? std::optional(reported * share / perSlot) : std::nullopt;
}

bool exceedsMemoryBudget(const GatewayCapacity& capacity) {
  const double bytes = capacity.memoryMb * kMemoryShare * kBytesPerMegabyte;
  return bytes > 0 && static_cast<double>(capacity.bufferedTextBytes) > bytes;
}

}  // namespace

std::optional<std::uint32_t> slotsFor(const GatewayCapacity& capacity) {
  std::optional<double> minBound;
  for (const std::optional<double>& bound :
       {slotBound(capacity.cpuCores, kMaxCores, kCpuShare, kCoresPerSlot),
        slotBound(capacity.memoryMb, kMaxMemoryMb, kMemoryShare, kMegabytesPerSlot),
        slotBound(capacity.fileDescriptors, kMaxDescriptors, kDescriptorShare, kDescriptorsPerSlot),
        slotBound(capacity.linkMbps, kMaxMbps, kLinkShare, kMbpsPerSlot)}) {
    if (bound) {
      minBound = std::min(minBound.value_or(*bound), *bound);
    }
  }
  if (!minBound) {
    return std::nullopt;
  }
  if (exceedsMemoryBudget(capacity)) {
    return kMinGatewaySlots;
  }
  return static_cast<std::uint32_t>(
      std::clamp<double>(*minBound, kMinGatewaySlots, kMaxGatewaySlots));
}

std::size_t maxItemBytes(const GatewayCapacity& capacity) {
  constexpr std::uint32_t kDefaultMemoryMb = 256;
  constexpr unsigned kMegabyteShift = 20;
  constexpr std::size_t kMemoryDivisor = 16;
  const std::uint32_t memoryMb = capacity.memoryMb > 0 ? capacity.memoryMb : kDefaultMemoryMb;
  return (static_cast<std::size_t>(memoryMb) << kMegabyteShift) / kMemoryDivisor;
}

}  // namespace tackpick::jobs
