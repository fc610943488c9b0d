/// \file
/// Estimates how long an answer will be, from the lengths of earlier answers.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/identifiers.h"
#include "base/random.h"
#include "base/serialization.h"

namespace tackpick::ledger {

/// Moving averages by prompt, and by workload for prompts never seen. The samples of a training
/// step often share prompts with earlier steps. Integer arithmetic, so that replicas agree; bounded
/// memory. Part of the replicated state of a ledger group, and used by gateways for callers.
class LengthEstimates {
 public:
  void observe(const base::WorkloadPath& workload, std::string_view prompt, std::size_t tokens) {
    if (prompts_.size() >= kRememberedPrompts) {
      prompts_.clear();
    }
    update(prompts_[keyOf(workload, prompt)], tokens);
    update(workloads_[workload.value], tokens);
  }

  /// Tokens expected; `maximum` when nothing is known.
  [[nodiscard]] std::uint32_t expected(const base::WorkloadPath& workload, std::string_view prompt,
                                       std::uint32_t maximum) const {
    const auto prompted = prompts_.find(keyOf(workload, prompt));
    if (prompted != prompts_.end()) {
      return rounded(prompted->second);
    }
    const auto known = workloads_.find(workload.value);
    return known == workloads_.end() ? maximum : rounded(known->second);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prompts_, workloads_);
  }

 private:
  static constexpr std::size_t kRememberedPrompts = 16'384;
  static constexpr std::uint64_t kScale = 256;  ///< fixed point
  static constexpr std::uint64_t kWeight = 3;   ///< of the newest length, in kWeightParts
  static constexpr std::uint64_t kWeightParts = 10;

  static std::uint64_t keyOf(const base::WorkloadPath& workload, std::string_view prompt) {
    return base::hashBytes(prompt, base::hashBytes(workload.value));
  }

  static std::uint32_t rounded(std::uint64_t average) {
    return static_cast<std::uint32_t>((average + kScale / 2) / kScale);
  }

  static void update(std::uint64_t& average, std::size_t tokens) {
    const std::uint64_t observed = tokens * kScale;
    average = average == 0
                  ? observed
                  : (average * (kWeightParts - kWeight) + observed * kWeight) / kWeightParts;
  }

  std::unordered_map<std::uint64_t, std::uint64_t> prompts_;
  std::unordered_map<std::string, std::uint64_t> workloads_;
};

}  // namespace tackpick::ledger
