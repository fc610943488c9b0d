/// Tests of the resource limits in the settings file.
#include "config/resource_limits.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "config/cluster_settings.h"

namespace base = tackpick::base;
namespace config = tackpick::config;

namespace {

constexpr const char* kGateway = R"(formation: self
cluster: c
name: g1
role: gateway
address: 10.1.0.10
zone: a
internal_port: 7720
traffic: 10.1.0.10:8161
readiness: 10.1.0.10:8167
seeds: ["10.1.0.14:8166"]
)";

/// The resource limits of a gateway with `lines` added to its settings file, or the error message.
struct LoadedSettings {
  explicit LoadedSettings(const std::string& lines) {
    const auto file =
        std::filesystem::temp_directory_path() / ("tackpick_limits_" + std::to_string(::getpid()));
    std::ofstream(file) << kGateway << lines;
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(settings, config::loadClusterSettings(file));
          limits = settings.limits;
          return 0;
        },
        [&](const base::Error& error) {
          errorMessage = error.message;
          return 0;
        });
    std::filesystem::remove(file);
  }

  config::ResourceLimits limits;
  std::string errorMessage;
};

}  // namespace

Test(process_limits, unknown_when_they_are_left_out) {
  const LoadedSettings loaded("");
  cr_assert(loaded.errorMessage.empty(), "%s", loaded.errorMessage.c_str());
  cr_assert_eq(loaded.limits.cpuCores(), 0);
  cr_assert_not(loaded.limits.memoryMb.has_value());
}

Test(process_limits, all_are_read) {
  const LoadedSettings loaded(
      "processor_share: 0.25\nprocessor_speed: 0.6\nmemory_mb: 260\nfile_descriptors: 4100\n"
      "link_mbps: 1000.0\n");
  cr_assert(loaded.errorMessage.empty(), "%s", loaded.errorMessage.c_str());
  cr_assert_float_eq(loaded.limits.cpuCores(), 0.15, 1e-9);
  cr_assert_eq(loaded.limits.memoryMb.value(), 260U);
  cr_assert_eq(loaded.limits.fileDescriptors.value(), 4100U);
  cr_assert_eq(loaded.limits.networkMbps.value(), 1000.0);
}

Test(process_limits, invalid_values_are_reported_with_their_key) {
  for (const std::string key :
       {"processor_share", "processor_speed", "memory_mb", "file_descriptors", "link_mbps"}) {
    for (const std::string value : {"-1", "0", "many", "[1]", ".nan", "1e30"}) {
      const LoadedSettings loaded(key + ": " + value + "\n");
      cr_assert(loaded.errorMessage.find(key) != std::string::npos, "%s: %s", key.c_str(),
                value.c_str());
    }
  }
}

// Guards against rejecting platform_duties as an unknown key, which would prevent the process
// from starting.
Test(capacity_mode, duties_without_a_platform_are_read_and_change_nothing) {
  const LoadedSettings loaded("platform_duties: [usage, scaling]\n");
  cr_assert(loaded.errorMessage.empty(), "%s", loaded.errorMessage.c_str());
}
