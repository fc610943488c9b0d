#include "simulation/environment.h"

#include <iomanip>

#include "simulation/simulated_engine.h"
#include "simulation/simulated_node.h"
#include "simulation/simulated_platform.h"

namespace tackpick::simulation {

Environment::Environment(const SimulationOptions& runOptions, std::uint64_t seed)
    : options(runOptions), random(seed), network(loop, random), checker(loop) {}

Environment::~Environment() = default;

SimulatedNode* Environment::node(std::uint32_t number) {
  const bool exists = number >= 1 && number <= nodes.size();
  return exists ? nodes[number - 1].get() : nullptr;
}

SimulatedEngine* Environment::engine(base::EngineId id) {
  const bool exists = id.value >= 1 && id.value <= engines.size();
  return exists ? engines[id.value - 1].get() : nullptr;
}

base::Duration Environment::randomDuration(base::Duration min, base::Duration max) {
  const auto range = static_cast<std::uint64_t>((max - min).count()) + 1;
  return min + base::Duration(static_cast<base::Duration::rep>(random.below(range)));
}

void Environment::writeTraceLine(const std::string& line) {
  if (traceOutput != nullptr) {
    constexpr int kDigits = 6;
    *traceOutput << std::fixed << std::setprecision(kDigits)
                 << base::toSeconds(loop.now().time_since_epoch()) << ' ' << line << '\n';
  }
}

}  // namespace tackpick::simulation
