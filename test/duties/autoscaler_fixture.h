/// \file
/// Fake of the hosting platform, and an autoscaler with a log that commits immediately.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/autoscaler.h"

namespace tackpick::test {

/// Instances of a pool.
struct PoolInstances {
  std::uint32_t active = 0;
  std::uint32_t draining = 0;
  std::vector<base::TimePoint> starting;  ///< when each becomes ready
};

/// Executes calls: starts instances after the startup duration and drains surplus ones.
class FakePlatform {
 public:
  explicit FakePlatform(base::Duration startupDuration) : m_startupDuration(startupDuration) {}

  void set(const duties::ScaleCall& call, base::TimePoint now);
  void advance(base::TimePoint now);
  /// Starts to drain instances of a pool, as a preemption does.
  void preempt(const std::string& zone, duties::InstanceKind kind, std::uint32_t count);
  /// Removes all draining instances.
  void removeDraining();
  [[nodiscard]] std::map<std::string, duties::RegisteredInstances> registered() const;
  [[nodiscard]] std::uint32_t total() const;

  std::map<std::pair<std::string, duties::InstanceKind>, PoolInstances> zones;
  std::uint32_t scaledInCount = 0;  ///< instances drained by calls

 private:
  const base::Duration m_startupDuration;
};

/// Autoscaler of one service "e" with 8 slots per instance, in zones a, b and c.
struct AutoscalerFixture {
  explicit AutoscalerFixture(duties::CapacityMode mode = duties::CapacityMode::kPredictive);

  /// Replaces the autoscaler by that of a new leader, which makes no calls for `wait`.
  void changeLeader(base::Duration wait = base::Duration{0});
  void step();
  void run(base::Duration time);
  /// Sets the demand to an open job of model "m" with `items` waiting items.
  void setDemand(std::uint32_t items, base::Duration age = base::seconds(1));
  /// Returns the outcome of a call, std::nullopt if it stays unanswered.
  std::function<std::optional<duties::ScaleOutcome>(const duties::ScaleCall&)> answer;
  /// Returns the counts that were sent for a pool, in order.
  [[nodiscard]] std::vector<std::uint32_t> sentPoolCounts(const std::string& zone,
                                                          duties::InstanceKind kind) const;

  base::TimePoint now{base::seconds(1000)};
  base::SeededRandom random{1};
  duties::Scaling scaling;
  FakePlatform platform{base::seconds(4)};
  duties::AutoscalerSettings settings;
  duties::CapacityState state;
  std::unique_ptr<duties::Autoscaler> autoscaler;
  std::optional<duties::CapacityDemand> demand;
  bool warmedUp = true;
  std::uint64_t fence = 0;
  std::vector<duties::ScaleCall> sent;
  std::map<std::string, std::uint32_t> unresponsive;  ///< by zone
};

}  // namespace tackpick::test
