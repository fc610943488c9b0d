/// \file
/// Resources available to a process.
#pragma once

#include <cstdint>
#include <optional>

#include "config/yaml_reader.h"

namespace tackpick::config {

/// Resources available to a process, as stated in its settings. std::nullopt means unknown.
struct ResourceLimits {
  std::optional<double> cpuShare;        ///< CPU time in cores
  std::optional<double> cpuSpeedFactor;  ///< speed relative to a reference core
  std::optional<std::uint32_t> memoryMb;
  std::optional<std::uint32_t> fileDescriptors;
  std::optional<double> networkMbps;

  /// Returns the CPU time in reference cores; zero if unknown.
  [[nodiscard]] double cpuCores() const {
    return cpuShare.value_or(0) * cpuSpeedFactor.value_or(1);
  }
};

/// Reads the keys `processor_share`, `processor_speed`, `memory_mb`, `file_descriptors` and
/// `link_mbps`.
[[nodiscard]] ResourceLimits readResourceLimits(MappingReader& reader);

}  // namespace tackpick::config
