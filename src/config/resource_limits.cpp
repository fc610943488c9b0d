#include "config/resource_limits.h"

namespace tackpick::config {
namespace {

constexpr double kMinCpu = 0.001;
constexpr double kMaxCpu = 1024;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'073'741'824;
constexpr double kMinNetworkMbps = 0.1;
constexpr double kMaxNetworkMbps = 1e6;

std::optional<double> readNumber(MappingReader& reader, const std::string& key, double min,
                                 double max) {
  if (!reader.has(key)) {
    return std::nullopt;
  }
  return reader.getDouble(key, min, min, max);
}

std::optional<std::uint32_t> readCount(MappingReader& reader, const std::string& key,
                                       std::int64_t min, std::int64_t max) {
  if (!reader.has(key)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(reader.getInteger(key, min, min, max));
}

}  // namespace

ResourceLimits readResourceLimits(MappingReader& reader) {
  ResourceLimits limits;
  limits.cpuShare = readNumber(reader, "processor_share", kMinCpu, kMaxCpu);
  limits.cpuSpeedFactor = readNumber(reader, "processor_speed", kMinCpu, kMaxCpu);
  limits.memoryMb = readCount(reader, "memory_mb", kMinMemoryMb, kMaxMemoryMb);
  limits.fileDescriptors = readCount(reader, "file_descriptors", kMinDescriptors, kMaxDescriptors);
  limits.networkMbps = readNumber(reader, "link_mbps", kMinNetworkMbps, kMaxNetworkMbps);
  return limits;
}

}  // namespace tackpick::config
