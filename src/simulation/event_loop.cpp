#include "simulation/event_loop.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::simulation {

void EventLoop::at(base::TimePoint time, Action action) {
  events_.push({std::max(time, now_), next_sequence_++, std::move(action)});
}

void EventLoop::runUntil(base::TimePoint end) {
  while (!events_.empty() && events_.top().time <= end) {
    // The queue only hands out constant references; the event is removed right after the move.
    Event event = std::move(const_cast<Event&>(events_.top()));  // NOLINT
    events_.pop();
    now_ = event.time;
    note(event.sequence);
    event.action();
  }
  now_ = end;
}

void EventLoop::note(std::uint64_t value) {
  const auto time = static_cast<std::uint64_t>(now_.time_since_epoch().count());
  hash_ = base::mix(hash_, base::mix(time, value));
}

}  // namespace tackpick::simulation
