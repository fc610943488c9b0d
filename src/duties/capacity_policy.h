/// \file
/// How many slots of a service the open work calls for.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "jobs/open_jobs.h"

namespace tackpick::duties {

/// Which rule decides how many instances are ordered.
enum class CapacityMode : std::uint8_t {
  kHold,           ///< what is there is left as it is; no call is made
  kWaitingWork,    ///< slots for what waits
  kExpectedSteps,  ///< slots for whole steps, as large as the last ones, before they come
};

/// The open work of a service.
struct CapacityDemand {
  jobs::OpenJobsByModel works;    ///< of the models of that service only
  std::uint32_t activeSlots = 0;  ///< of the instances that serve
  base::Duration reportAge{0};    ///< age of these figures
  double recentEvents = 0;        ///< of streams of those models, jobs or not; older count less

  [[nodiscard]] bool idle() const {
    constexpr double kNoEvents = 0.5;
    return works.empty() && recentEvents < kNoEvents;
  }
};

/// Deterministic; one for each service.
class CapacityPolicy {
 public:
  virtual ~CapacityPolicy() = default;
  /// Slots that should be there, or be starting.
  [[nodiscard]] virtual std::uint32_t targetSlots(const CapacityDemand& demand,
                                                  base::TimePoint now) = 0;

  /// Nothing for CapacityMode::kHold.
  [[nodiscard]] static std::unique_ptr<CapacityPolicy> make(CapacityMode mode);
};

/// Knobs of FollowWaitingWork.
struct WaitingWorkSettings {
  /// A burst that the engines there work off in this time calls for none that start later.
  base::Duration patience = base::milliseconds(500);
  /// What was wanted is remembered so long: a trainer's next step needs it again.
  base::Duration memory = base::seconds(30);
};

/// Wants a place for each item that keeps waiting while none is free.
class FollowWaitingWork final : public CapacityPolicy {
 public:
  explicit FollowWaitingWork(WaitingWorkSettings settings = {}) : m_settings(settings) {}
  [[nodiscard]] std::uint32_t targetSlots(const CapacityDemand& demand,
                                          base::TimePoint now) override;

 private:
  /// The least over the last while; zero until it has lasted.
  [[nodiscard]] std::uint32_t lastingShortage(const CapacityDemand& demand, base::TimePoint now);

  const WaitingWorkSettings m_settings;
  std::optional<base::TimePoint> m_shortSince;
  std::uint32_t m_minShortage = 0;
  std::uint32_t m_peak = 0;
  base::TimePoint m_peakAt{};
};

/// Knobs of FollowExpectedSteps.
struct ExpectedStepsSettings {
  WaitingWorkSettings waiting;
  /// A model whose last job came before that is expected to send none.
  base::Duration memory = base::seconds(30);
};

/// Wants a place for each item of the largest recent job of each model, so that a whole step can
/// begin at once; where that misjudges, for what waits. It pays where new engines have the weights
/// that steps need: where loads of weights are the limit, more engines are each loaded more seldom.
class FollowExpectedSteps final : public CapacityPolicy {
 public:
  explicit FollowExpectedSteps(ExpectedStepsSettings settings = {})
      : m_settings(settings), m_waiting(settings.waiting) {}
  [[nodiscard]] std::uint32_t targetSlots(const CapacityDemand& demand,
                                          base::TimePoint now) override;

 private:
  struct Step {
    std::uint32_t items = 0;
    base::TimePoint seenAt{};
  };
  void note(const jobs::OpenJobsByModel& works, base::TimePoint now);

  const ExpectedStepsSettings m_settings;
  FollowWaitingWork m_waiting;
  std::map<std::string, Step> m_largest;  ///< by model
};

}  // namespace tackpick::duties
