#include "forwarding/retry_policy.h"

#include <algorithm>

namespace tackpick::forwarding {
namespace {

/// A second copy is sent when this share of the objective has passed in silence.
constexpr int kHedgePercent = 50;
constexpr int kWholePercent = 100;
/// With less time than this left a further send can gain nothing.
constexpr base::Duration kMinAttempt = base::milliseconds(5);

}  // namespace

RetryPolicy::RetryPolicy(const directory::Route& route, base::TimePoint receivedAt,
                         base::TimePoint deadline)
    : repeatable_(route.kind == directory::RouteKind::kRepeatable && !route.streaming),
      attempts_(route.attempts),
      target_(route.targetLatency),
      deadline_(std::min(deadline, receivedAt + route.timeout)) {}

base::Verdict RetryPolicy::onResult(AttemptResult result) {
  running_ -= running_ > 0 ? 1 : 0;
  const base::Verdict one = [&] {
    switch (result) {
      case AttemptResult::kNotRun:
        return base::Verdict::kNotRun;
      case AttemptResult::kBroken:
        return base::Verdict::kMayHaveRun;
      default:
        return base::Verdict::kRan;
    }
  }();
  verdict_ = base::combine(verdict_, one);
  return verdict_;
}

bool RetryPolicy::maySend(base::TimePoint now) const {
  if (sends_ >= attempts_ || now + kMinAttempt >= deadline_) {
    return false;
  }
  return repeatable_ || (running_ == 0 && verdict_ == base::Verdict::kNotRun);
}

std::optional<base::TimePoint> RetryPolicy::hedgeAt(base::TimePoint sentAt) const {
  if (!repeatable_ || sends_ >= attempts_ || target_ <= base::Duration{0}) {
    return std::nullopt;
  }
  return sentAt + target_ * kHedgePercent / kWholePercent;
}

}  // namespace tackpick::forwarding
