/// \file
/// Predicts how long an answer will be.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/identifiers.h"
#include "base/random.h"

namespace tackpick::gateway {

/// Remembers a moving average by prompt, and by workload for prompts never seen. The samples of a
/// step often share prompts with earlier steps, which makes this worth its memory.
class LengthPredictor {
 public:
  void observe(const base::WorkloadPath& workload, std::string_view prompt, std::size_t tokens) {
    constexpr std::size_t kRememberedPrompts = 65'536;
    if (prompts_.size() >= kRememberedPrompts) {
      prompts_.clear();
    }
    update(prompts_[base::hashBytes(prompt)], tokens);
    update(workloads_[workload], tokens);
  }

  /// Tokens expected; `maximum` when nothing is known.
  [[nodiscard]] std::uint32_t predict(const base::WorkloadPath& workload, std::string_view prompt,
                                      std::uint32_t maximum) const {
    const auto prompted = prompts_.find(base::hashBytes(prompt));
    if (prompted != prompts_.end()) {
      return static_cast<std::uint32_t>(prompted->second);
    }
    const auto known = workloads_.find(workload);
    return known == workloads_.end() ? maximum : static_cast<std::uint32_t>(known->second);
  }

 private:
  static void update(double& average, std::size_t tokens) {
    constexpr double kWeight = 0.3;
    const auto observed = static_cast<double>(tokens);
    average = average == 0.0 ? observed : average + kWeight * (observed - average);
  }

  std::unordered_map<std::uint64_t, double> prompts_;
  std::unordered_map<base::WorkloadPath, double> workloads_;
};

}  // namespace tackpick::gateway
