#include "config/process_limits.h"

namespace tackpick::config {
namespace {

constexpr double kMinProcessor = 0.001;
constexpr double kMaxProcessor = 1024;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'073'741'824;
constexpr double kMinLinkMbps = 0.1;
constexpr double kMaxLinkMbps = 1e6;

std::optional<double> readNumber(MappingReader& reader, const std::string& key, double minimum,
                                 double maximum) {
  if (!reader.has(key)) {
    return std::nullopt;
  }
  return reader.number(key, minimum, minimum, maximum);
}

std::optional<std::uint32_t> readCount(MappingReader& reader, const std::string& key,
                                       std::int64_t minimum, std::int64_t maximum) {
  if (!reader.has(key)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(reader.integer(key, minimum, minimum, maximum));
}

}  // namespace

ProcessLimits readProcessLimits(MappingReader& reader) {
  ProcessLimits limits;
  limits.processorShare = readNumber(reader, "processor_share", kMinProcessor, kMaxProcessor);
  limits.processorSpeed = readNumber(reader, "processor_speed", kMinProcessor, kMaxProcessor);
  limits.memoryMb = readCount(reader, "memory_mb", kMinMemoryMb, kMaxMemoryMb);
  limits.fileDescriptors = readCount(reader, "file_descriptors", kMinDescriptors, kMaxDescriptors);
  limits.linkMbps = readNumber(reader, "link_mbps", kMinLinkMbps, kMaxLinkMbps);
  return limits;
}

}  // namespace tackpick::config
