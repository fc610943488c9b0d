#include "runtime/server_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace tackpick::runtime {
namespace {

constexpr std::uint32_t kDefaultMemoryMb = 256;
constexpr std::size_t kDefaultDescriptors = 4096;
constexpr unsigned kMegabyteShift = 20;

// Divisors of the memory. The rest is for the process itself, the texts of items, and the copies
// that exist while one long body is passed on.
constexpr std::size_t kRequestDivisor = 2;
constexpr std::size_t kUnfinishedDivisor = 16;
constexpr std::size_t kUnsentDivisor = 8;
constexpr std::size_t kItemDivisor = 4;
constexpr std::size_t kReplyDivisor = 16;
constexpr std::size_t kPeerMessageDivisor = 4;

// Shares of the descriptors. A request needs one for its client and one for its engine. The rest is
// for other processes, files and probes.
constexpr std::size_t kDescriptorDenominator = 8;
constexpr std::size_t kClientNumerator = 3;
constexpr std::size_t kUpstreamNumerator = 3;
constexpr std::size_t kHandshakeDivisor = 16;
constexpr std::size_t kProbeDivisor = 32;

std::size_t memoryBytes(const config::ResourceLimits& resources) {
  return static_cast<std::size_t>(resources.memoryMb.value_or(kDefaultMemoryMb)) << kMegabyteShift;
}

std::size_t descriptors(const config::ResourceLimits& resources) {
  if (resources.fileDescriptors) {
    return *resources.fileDescriptors;
  }
  rlimit allowed{};
  const bool known = getrlimit(RLIMIT_NOFILE, &allowed) == 0;
  return known ? std::min<std::size_t>(kDefaultDescriptors, allowed.rlim_cur) : kDefaultDescriptors;
}

}  // namespace

http::ExchangeLimits serverLimits(const config::ResourceLimits& resources) {
  http::ExchangeLimits limits;
  const std::size_t memory = memoryBytes(resources);
  limits.maxRequestBytes = memory / kRequestDivisor;
  limits.maxUnfinishedBytes = memory / kUnfinishedDivisor;
  limits.maxTotalUnsentBytes = memory / kUnsentDivisor;
  limits.maxConnections = descriptors(resources) * kClientNumerator / kDescriptorDenominator;
  return limits;
}

http::ExchangeLimits probeServerLimits(const config::ResourceLimits& resources) {
  constexpr std::size_t kMaxBytes = 1U << 20U;
  constexpr std::size_t kMaxBodyBytes = 4U << 10U;
  http::ExchangeLimits limits;
  limits.maxBodyBytes = kMaxBodyBytes;
  limits.maxRequestBytes = kMaxBytes;
  limits.maxUnfinishedBytes = kMaxBytes;
  limits.maxConnections = descriptors(resources) / kProbeDivisor;
  return limits;
}

std::size_t maxUpstreamConnections(const config::ResourceLimits& resources) {
  return descriptors(resources) * kUpstreamNumerator / kDescriptorDenominator;
}

std::size_t maxItemBytes(const config::ResourceLimits& resources) {
  return memoryBytes(resources) / kItemDivisor;
}

std::size_t maxReplyBytes(const config::ResourceLimits& resources) {
  return memoryBytes(resources) / kReplyDivisor;
}

std::size_t maxPeerMessageBytes(const config::ResourceLimits& resources) {
  return memoryBytes(resources) / kPeerMessageDivisor;
}

std::size_t maxPeerHandshakes(const config::ResourceLimits& resources) {
  return descriptors(resources) / kHandshakeDivisor;
}

}  // namespace tackpick::runtime
