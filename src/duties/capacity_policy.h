/// \file
/// Policies that derive the number of slots of a service from its open jobs.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "jobs/open_jobs.h"

namespace tackpick::duties {

/// Policy that decides how many instances are requested.
enum class CapacityMode : std::uint8_t {
  kFixed,       ///< counts are not changed; no call is made
  kReactive,    ///< slots for waiting items
  kPredictive,  ///< slots for the largest recent training step of each model
};

/// Demand for a service.
struct CapacityDemand {
  jobs::OpenJobsByModel openJobs;  ///< open jobs of the models of the service
  std::uint32_t activeSlots = 0;   ///< slots of the active instances
  base::Duration reportAge{0};     ///< age of the report of open jobs
  /// Number of recent stream events of the models of the service, for jobs and single requests.
  /// Decays with time.
  double recentEvents = 0;

  /// Whether there are neither open jobs nor recent events.
  [[nodiscard]] bool idle() const {
    constexpr double kNoEvents = 0.5;
    return openJobs.empty() && recentEvents < kNoEvents;
  }
};

/// Decides the number of slots of one service. Deterministic.
class CapacityPolicy {
 public:
  virtual ~CapacityPolicy() = default;
  /// Returns the number of slots that should be active or starting.
  [[nodiscard]] virtual std::uint32_t targetSlots(const CapacityDemand& demand,
                                                  base::TimePoint now) = 0;

  /// Returns the policy of a mode, nullptr for CapacityMode::kFixed.
  [[nodiscard]] static std::unique_ptr<CapacityPolicy> make(CapacityMode mode);
};

/// Settings of a ReactivePolicy.
struct ReactivePolicySettings {
  /// Time for which a shortage of slots must last. Shorter bursts are left to the active engines.
  base::Duration stabilizationWindow = base::milliseconds(500);
  /// Time for which the highest target is kept, because the next training step is likely to need as
  /// many slots.
  base::Duration peakRetention = base::seconds(30);
};

/// Requires an additional slot for each waiting item beyond the free slots.
class ReactivePolicy final : public CapacityPolicy {
 public:
  explicit ReactivePolicy(ReactivePolicySettings settings = {}) : m_settings(settings) {}
  [[nodiscard]] std::uint32_t targetSlots(const CapacityDemand& demand,
                                          base::TimePoint now) override;

 private:
  /// Returns the minimum shortage over the stabilization window, zero if the shortage has not
  /// lasted for the complete window.
  [[nodiscard]] std::uint32_t sustainedShortage(const CapacityDemand& demand, base::TimePoint now);

  const ReactivePolicySettings m_settings;
  std::optional<base::TimePoint> m_shortageSince;
  std::uint32_t m_minShortage = 0;  ///< minimum shortage since m_shortageSince
  std::uint32_t m_peak = 0;         ///< highest recent target, in slots
  base::TimePoint m_peakAt{};
};

/// Settings of a PredictivePolicy.
struct PredictivePolicySettings {
  ReactivePolicySettings reactive;
  /// Time after which the largest step of a model is dropped.
  base::Duration stepRetention = base::seconds(30);
};

/// Requires a slot for each item of the largest recent job of each model, so that all items of a
/// training step can start at once, but never fewer slots than ReactivePolicy. Suited to services
/// whose new engines already have the required weights; where loading of weights is the bottleneck,
/// additional engines do not help.
class PredictivePolicy final : public CapacityPolicy {
 public:
  explicit PredictivePolicy(PredictivePolicySettings settings = {})
      : m_settings(settings), m_reactivePolicy(settings.reactive) {}
  [[nodiscard]] std::uint32_t targetSlots(const CapacityDemand& demand,
                                          base::TimePoint now) override;

 private:
  /// Size of the largest recent job of a model.
  struct StepSize {
    std::uint32_t items = 0;
    base::TimePoint seenAt{};
  };
  void recordLargestSteps(const jobs::OpenJobsByModel& openJobs, base::TimePoint now);

  const PredictivePolicySettings m_settings;
  ReactivePolicy m_reactivePolicy;
  std::map<std::string, StepSize> m_largestSteps;  ///< by model
};

}  // namespace tackpick::duties
