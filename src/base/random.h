/// \file
/// Pseudo-random number generators and hash functions.
#pragma once

#include <cstdint>
#include <string_view>

namespace tackpick::base {

/// Returns a 64-bit mix of `value` (the finaliser of SplitMix64). A bijection.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// Returns a hash of two values, which depends on their order.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t first, std::uint64_t second) {
  return mix(mix(first) ^ second);
}

/// Returns a 64-bit hash of `bytes`. Deterministic.
[[nodiscard]] std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Source of pseudo-random numbers.
class Random {
 public:
  virtual ~Random() = default;
  virtual std::uint64_t next() = 0;

  /// Returns a uniform integer in [0, bound); zero if `bound` is zero.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  /// Returns a uniform number in [0, 1).
  double uniform();
  /// Returns true with the given probability.
  bool chance(double probability) { return uniform() < probability; }
  /// Returns an exponentially distributed number with the given mean.
  double exponential(double mean);
  /// Returns a Pareto distributed number of at least `minimum`, with tail index `alpha`.
  double pareto(double minimum, double alpha);
};

/// SplitMix64 generator. Deterministic.
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() override {
    constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ULL;
    const std::uint64_t result = mix(state_);
    state_ += kGoldenGamma;
    return result;
  }

 private:
  std::uint64_t state_;
};

}  // namespace tackpick::base
