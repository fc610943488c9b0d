#include "config/process_limits.h"

namespace tackpick::config {
namespace {

constexpr double kLeastProcessor = 0.001;
constexpr double kMostProcessor = 1024;
constexpr std::int64_t kLeastMemoryMb = 16;
constexpr std::int64_t kMostMemoryMb = 16'777'216;
constexpr std::int64_t kLeastDescriptors = 64;
constexpr std::int64_t kMostDescriptors = 1'073'741'824;
constexpr double kLeastLinkMbps = 0.1;
constexpr double kMostLinkMbps = 1e6;

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
  limits.processorShare = readNumber(reader, "processor_share", kLeastProcessor, kMostProcessor);
  limits.processorSpeed = readNumber(reader, "processor_speed", kLeastProcessor, kMostProcessor);
  limits.memoryMb = readCount(reader, "memory_mb", kLeastMemoryMb, kMostMemoryMb);
  limits.fileDescriptors =
      readCount(reader, "file_descriptors", kLeastDescriptors, kMostDescriptors);
  limits.linkMbps = readNumber(reader, "link_mbps", kLeastLinkMbps, kMostLinkMbps);
  return limits;
}

}  // namespace tackpick::config
