/// \file
/// What the machine of a process gives it.
#pragma once

#include <cstdint>
#include <optional>

#include "config/yaml_reader.h"

namespace tackpick::config {

/// Each is left out where it is not known.
struct ProcessLimits {
  std::optional<double> processorShare;  ///< of a core's time
  std::optional<double> processorSpeed;  ///< of that core, in usual cores
  std::optional<std::uint32_t> memoryMb;
  std::optional<std::uint32_t> fileDescriptors;
  std::optional<double> linkMbps;

  /// Usual cores that this process has to itself; zero: unknown.
  [[nodiscard]] double cpuCores() const {
    return processorShare.value_or(0) * processorSpeed.value_or(1);
  }
};

/// Reads the keys `processor_share`, `processor_speed`, `memory_mb`, `file_descriptors` and
/// `link_mbps`.
[[nodiscard]] ProcessLimits readProcessLimits(MappingReader& reader);

}  // namespace tackpick::config
