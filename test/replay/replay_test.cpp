/// Replays the recorded traces with several seeds and checks their expected outcomes.
#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "simulation/simulator.h"
#include "simulation/workload_trace.h"

namespace base = tackpick::base;
namespace sim = tackpick::simulation;

namespace {

std::shared_ptr<const sim::WorkloadTrace> load(const std::string& name) {
  const char* root = std::getenv("TACKPICK_ROOT");
  const std::string path = std::string(root == nullptr ? "." : root) + "/test/replay/" + name;
  std::ifstream file(path);
  cr_assert(file.good(), "cannot read %s", path.c_str());
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  return base::recover(
      [&]() -> base::Result<std::shared_ptr<const sim::WorkloadTrace>> {
        BOOST_LEAF_AUTO(trace, sim::parseTrace(text));
        return std::make_shared<const sim::WorkloadTrace>(std::move(trace));
      },
      [](const base::Error& error) {
        cr_assert_fail("%s", error.message.c_str());
        return std::shared_ptr<const sim::WorkloadTrace>();
      });
}

void replay(const std::string& name) {
  constexpr std::uint64_t kSeeds = 10;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    sim::SimulationOptions options;
    options.load.trace = load(name);
    options.load.resendFraction = 0.0;
    options.load.maxSampleTokens = 500;
    options.load.stalenessBound = 6;
    sim::Simulator simulator(options, seed, nullptr);
    const sim::RunResult result = simulator.run();
    const sim::TraceExpectation& expected = options.load.trace->expectation;
    cr_expect(result.violations.empty(), "%s, seed %lu: %s", name.c_str(), seed,
              result.violations.empty() ? "" : result.violations.front().description.c_str());
    cr_expect_eq(result.statistics.requestsSent, expected.requests);
    cr_expect_geq(result.statistics.requestsCompleted, expected.minAnswered, "%s, seed %lu",
                  name.c_str(), seed);
    cr_expect_eq(result.statistics.samplesDelivered, expected.samples, "%s, seed %lu: %lu",
                 name.c_str(), seed, result.statistics.samplesDelivered);
  }
}

}  // namespace

Test(replay, zoekwerk_calm) { replay("zoekwerk-calm.jsonl"); }
Test(replay, zoekwerk_burst_with_engine_faults) { replay("zoekwerk-burst.jsonl"); }
Test(replay, strait_ferry_holds_while_gateways_and_ledgers_fail) {
  replay("strait-ferry-holds.jsonl");
}
Test(replay, strait_ferry_burst_while_control_fails) { replay("strait-ferry-burst.jsonl"); }

Test(replay, parse_error_names_the_line) {
  const auto message = base::recover(
      [&]() -> base::Result<std::string> {
        BOOST_LEAF_CHECK(
            sim::parseTrace("{\"kind\":\"batch\",\"lengths\":[1]}\n{\"kind\":\"no\"}"));
        return std::string();
      },
      [](const base::Error& error) { return error.message; });
  cr_assert_eq(message.find("line 2:"), 0U, "%s", message.c_str());
}
