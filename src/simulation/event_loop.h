/// \file
/// Event queue with virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time.h"

namespace tackpick::simulation {

/// Runs events in the order of their time, and events of the same time in the order of insertion.
/// Deterministic: the same calls in the same order give the same history hash.
class EventLoop final : public base::TimeSource {
 public:
  using Callback = std::function<void()>;

  [[nodiscard]] base::TimePoint now() const override { return now_; }
  void scheduleAt(base::TimePoint time, Callback callback);
  void scheduleAfter(base::Duration delay, Callback callback) {
    scheduleAt(now_ + delay, std::move(callback));
  }
  /// Runs all events up to and including `end`, then sets the time to `end`.
  void runUntil(base::TimePoint end);

  /// Mixes the current time and `value` into the history hash.
  void mixIntoHash(std::uint64_t value);
  [[nodiscard]] std::uint64_t historyHash() const { return hash_; }

 private:
  struct Event {
    base::TimePoint time{};
    std::uint64_t sequence = 0;
    Callback callback;
  };
  struct FiresLater {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  base::TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t hash_ = 0;
  std::priority_queue<Event, std::vector<Event>, FiresLater> events_;
};

}  // namespace tackpick::simulation
