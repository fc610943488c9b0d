#include "simulation/event_loop.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::simulation {

void EventLoop::scheduleAt(base::TimePoint time, Callback callback) {
  events_.push({std::max(time, now_), next_sequence_++, std::move(callback)});
}

void EventLoop::runUntil(base::TimePoint end) {
  while (!events_.empty() && events_.top().time <= end) {
    // priority_queue::top() returns a const reference. Moving from it is safe because the event is
    // popped next.
    Event event = std::move(const_cast<Event&>(events_.top()));  // NOLINT
    events_.pop();
    now_ = event.time;
    mixIntoHash(event.sequence);
    event.callback();
  }
  now_ = end;
}

void EventLoop::mixIntoHash(std::uint64_t value) {
  const auto time = static_cast<std::uint64_t>(now_.time_since_epoch().count());
  hash_ = base::mix(hash_, base::mix(time, value));
}

}  // namespace tackpick::simulation
