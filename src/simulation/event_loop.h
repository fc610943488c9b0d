/// \file
/// Virtual time: a queue of events, run in order of time and then of insertion.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace tackpick::simulation {

/// Runs a world. The same calls in the same order give the same hash.
class EventLoop final : public base::TimeSource {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] base::TimePoint now() const override { return now_; }
  void at(base::TimePoint time, Action action);
  void after(base::Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs all events up to `end`, and then stands at `end`.
  void runUntil(base::TimePoint end);

  /// Mixes what happened into the history's hash.
  void note(std::uint64_t value);
  [[nodiscard]] std::uint64_t historyHash() const { return hash_; }

 private:
  struct Event {
    base::TimePoint time{};
    std::uint64_t sequence = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  base::TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t hash_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace tackpick::simulation
