/// Tests of the limits derived from a machine's resources.
#include "runtime/server_limits.h"

#include <criterion/criterion.h>

namespace config = tackpick::config;
namespace runtime = tackpick::runtime;

namespace {

config::ResourceLimits resources(std::uint32_t memoryMb, std::uint32_t descriptors) {
  config::ResourceLimits limits;
  limits.memoryMb = memoryMb;
  limits.fileDescriptors = descriptors;
  return limits;
}

}  // namespace

Test(server_limits, sum_of_the_limits_leaves_memory_for_the_process) {
  const auto limits = runtime::serverLimits(resources(160, 4100));
  const std::size_t sum =
      limits.maxRequestBytes + limits.maxUnfinishedBytes + limits.maxTotalUnsentBytes;
  cr_assert_leq(sum, (std::size_t{160} << 20U) * 3 / 4);
}

Test(server_limits, sum_of_the_limits_leaves_descriptors_for_files_and_peers) {
  const auto declared = resources(160, 4100);
  const std::size_t sum = runtime::serverLimits(declared).maxConnections +
                          runtime::maxUpstreamConnections(declared) +
                          runtime::maxPeerHandshakes(declared) +
                          2 * runtime::probeServerLimits(declared).maxConnections;
  cr_assert_leq(sum, 4100U - 250U);
}

Test(server_limits, undeclared_resources_have_a_default) {
  const auto limits = runtime::serverLimits({});
  cr_assert_eq(limits.maxRequestBytes, std::size_t{128} << 20U);
  cr_assert_leq(limits.maxConnections, 1536U);
}
