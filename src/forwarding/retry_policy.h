/// \file
/// Decides what follows when a send of a caller's request ends: another send, or which answer.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "base/verdict.h"
#include "directory/configuration.h"

namespace tackpick::forwarding {

/// How one send to an instance ended, as far as the caller is concerned.
enum class AttemptResult : std::uint8_t {
  kAnswered,      ///< a whole answer, success or a failure that a repeat would not mend
  kServerFailed,  ///< a whole answer that reports a failure of the server (5xx)
  kNotRun,        ///< the instance says that it did not run the request, or was not reached
  kBroken,        ///< no whole answer: it may have run
};

/// What one request has been through. Deterministic.
class RetryPolicy {
 public:
  /// `deadline` is the earlier of the caller's and the route's.
  RetryPolicy(const directory::Route& route, base::TimePoint receivedAt, base::TimePoint deadline);

  void onSend() {
    ++sends_;
    ++running_;
  }
  /// `result` of one send; returns the verdict over all of them so far.
  base::Verdict onResult(AttemptResult result);

  /// True when the request may be sent (again) now.
  [[nodiscard]] bool maySend(base::TimePoint now) const;
  /// When a second copy may be sent beside an unresponsive one; nothing when it may not.
  [[nodiscard]] std::optional<base::TimePoint> hedgeAt(base::TimePoint sentAt) const;
  [[nodiscard]] std::uint32_t running() const { return running_; }
  [[nodiscard]] std::uint32_t sends() const { return sends_; }
  [[nodiscard]] base::Verdict verdict() const { return verdict_; }
  [[nodiscard]] base::TimePoint deadline() const { return deadline_; }
  [[nodiscard]] bool repeatable() const { return repeatable_; }

 private:
  const bool repeatable_;
  const std::uint32_t attempts_;
  const base::Duration target_;
  const base::TimePoint deadline_;
  std::uint32_t sends_ = 0;
  std::uint32_t running_ = 0;
  base::Verdict verdict_ = base::Verdict::kNotRun;
};

}  // namespace tackpick::forwarding
