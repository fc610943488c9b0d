/// \file
/// Decides whether a caller's request is retried after an attempt.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "base/verdict.h"
#include "directory/configuration.h"

namespace tackpick::forwarding {

/// Result of one attempt for the retry policy.
enum class AttemptResult : std::uint8_t {
  kAnswered,      ///< a complete response: success, or an error that a retry would not change
  kServerFailed,  ///< a complete response with a server error (5xx)
  kNotRun,        ///< the instance reports that it did not run the request, or was not reached
  kIncomplete,    ///< no complete response: the request may have run
};

/// State of one request's attempts. Deterministic.
class RetryPolicy {
 public:
  /// `deadline` is the caller's deadline. The route's timeout may give an earlier one.
  RetryPolicy(const directory::Route& route, base::TimePoint receivedAt, base::TimePoint deadline);

  void onAttemptStarted() {
    ++m_attempts;
    ++m_inFlight;
  }
  /// Records the result of an attempt. Returns the verdict over all attempts so far.
  base::Verdict onResult(AttemptResult result);

  /// Whether another attempt may start now.
  [[nodiscard]] bool maySend(base::TimePoint now) const;
  /// Time at which a hedged copy may be sent; std::nullopt if none may.
  [[nodiscard]] std::optional<base::TimePoint> hedgeTime(base::TimePoint sentAt) const;
  [[nodiscard]] std::uint32_t inFlight() const { return m_inFlight; }
  [[nodiscard]] std::uint32_t attempts() const { return m_attempts; }
  [[nodiscard]] base::Verdict verdict() const { return m_verdict; }
  [[nodiscard]] base::TimePoint deadline() const { return m_deadline; }
  [[nodiscard]] bool repeatable() const { return m_repeatable; }

 private:
  const bool m_repeatable;
  const std::uint32_t m_maxAttempts;
  const base::Duration m_targetLatency;
  const base::TimePoint m_deadline;
  std::uint32_t m_attempts = 0;
  std::uint32_t m_inFlight = 0;
  base::Verdict m_verdict = base::Verdict::kNotRun;
};

}  // namespace tackpick::forwarding
