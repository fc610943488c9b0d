/// \file
/// Estimate of the length of an answer from the lengths of earlier answers.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/identifiers.h"
#include "base/random.h"
#include "base/serialization.h"

namespace tackpick::ledger {

/// Moving averages of answer lengths by prompt, and by workload for unknown prompts. Training steps
/// often reuse the prompts of earlier steps. Part of the replicated state of ledger groups, so it
/// uses only integer arithmetic; also used by gateways for callers' requests.
class LengthEstimator {
 public:
  void observe(const base::WorkloadPath& workload, std::string_view prompt, std::size_t tokens) {
    if (prompts_.size() >= kMaxPrompts) {
      prompts_.clear();
    }
    update(prompts_[promptKey(workload, prompt)], tokens);
    update(workloads_[workload.value], tokens);
  }

  /// Returns the estimated number of tokens; `fallback` if prompt and workload are unknown.
  [[nodiscard]] std::uint32_t estimate(const base::WorkloadPath& workload, std::string_view prompt,
                                       std::uint32_t fallback) const {
    const auto byPrompt = prompts_.find(promptKey(workload, prompt));
    if (byPrompt != prompts_.end()) {
      return toTokens(byPrompt->second);
    }
    const auto byWorkload = workloads_.find(workload.value);
    return byWorkload == workloads_.end() ? fallback : toTokens(byWorkload->second);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prompts_, workloads_);
  }

 private:
  static constexpr std::size_t kMaxPrompts = 16'384;
  static constexpr std::uint64_t kFixedPointScale = 256;   ///< averages are fixed-point numbers
  static constexpr std::uint64_t kSmoothingNumerator = 3;  ///< weight of the newest length
  static constexpr std::uint64_t kSmoothingDenominator = 10;

  static std::uint64_t promptKey(const base::WorkloadPath& workload, std::string_view prompt) {
    return base::hashBytes(prompt, base::hashBytes(workload.value));
  }

  static std::uint32_t toTokens(std::uint64_t average) {
    return static_cast<std::uint32_t>((average + kFixedPointScale / 2) / kFixedPointScale);
  }

  static void update(std::uint64_t& average, std::size_t tokens) {
    const std::uint64_t observed = tokens * kFixedPointScale;
    average = average == 0 ? observed
                           : (average * (kSmoothingDenominator - kSmoothingNumerator) +
                              observed * kSmoothingNumerator) /
                                 kSmoothingDenominator;
  }

  std::unordered_map<std::uint64_t, std::uint64_t> prompts_;
  std::unordered_map<std::string, std::uint64_t> workloads_;
};

}  // namespace tackpick::ledger
