/// \file
/// A platform that starts and withdraws instances, and the leader's duty with a log that commits at
/// once, without a network.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/autoscaler.h"

namespace tackpick::test {

/// What one zone runs of one kind.
struct RunningKind {
  std::uint32_t there = 0;
  std::uint32_t draining = 0;
  std::vector<base::TimePoint> starting;  ///< when each serves
};

/// The platform: takes calls, starts instances after a while and empties those that are too many.
class FakePlatform {
 public:
  explicit FakePlatform(base::Duration startupDuration) : m_startTime(startupDuration) {}

  void set(const duties::ScaleCall& call, base::TimePoint now);
  void advance(base::TimePoint now);
  /// Instances announce that they leave.
  void withdraw(const std::string& zone, duties::InstanceKind kind, std::uint32_t count);
  /// Those that were draining are gone.
  void removeDraining();
  [[nodiscard]] std::map<std::string, duties::RegisteredInstances> registered() const;
  [[nodiscard]] std::uint32_t total() const;

  std::map<std::pair<std::string, duties::InstanceKind>, RunningKind> zones;
  std::uint32_t emptied = 0;  ///< instances that a call took away

 private:
  const base::Duration m_startTime;
};

/// One service "e" of 8 slots an instance, in zones a, b and c.
struct CapacityWorld {
  explicit CapacityWorld(duties::CapacityMode mode = duties::CapacityMode::kExpectedSteps);

  /// Another leader takes over, which may call after `wait`.
  void elect(base::Duration wait = base::Duration{0});
  void step();
  void run(base::Duration time);
  /// An open job of model "m" with so many items, all of them waiting.
  void offer(std::uint32_t items, base::Duration age = base::seconds(1));
  /// Says what becomes of a call: its outcome; nothing: no answer comes now.
  std::function<std::optional<duties::ScaleOutcome>(const duties::ScaleCall&)> answer;
  /// The counts that were sent about a subject, in turn.
  [[nodiscard]] std::vector<std::uint32_t> sentCounts(const std::string& zone,
                                                      duties::InstanceKind kind) const;

  base::TimePoint now{base::seconds(1000)};
  base::SeededRandom random{1};
  duties::Scaling scaling;
  FakePlatform platform{base::seconds(4)};
  duties::AutoscalerSettings settings;
  duties::CapacityState state;
  std::unique_ptr<duties::Autoscaler> duty;
  std::optional<duties::CapacityDemand> demand;
  bool settled = true;
  std::uint64_t fence = 0;
  std::vector<duties::ScaleCall> sent;
  std::map<std::string, std::uint32_t> unresponsive;  ///< by zone
};

}  // namespace tackpick::test
