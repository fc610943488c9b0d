#include "base/random.h"

#include <xxhash.h>

#include <cmath>

namespace tackpick::base {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

double Random::uniform() {
  constexpr unsigned kDiscardedBits = 11;
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(next() >> kDiscardedBits) * kScale;
}

double Random::exponential(double mean) { return -mean * std::log(1.0 - uniform()); }

double Random::pareto(double minimum, double alpha) {
  return minimum / std::pow(1.0 - uniform(), 1.0 / alpha);
}

}  // namespace tackpick::base
