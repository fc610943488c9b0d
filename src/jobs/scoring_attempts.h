/// \file
/// Decides what follows a response of an item's scorer.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "jobs/broken_run_backoff.h"

namespace tackpick::jobs {

/// A response of a scorer, or the end of a call without a complete response.
struct ScorerResponse {
  bool complete = false;
  /// The server reported that it did not execute the call, or was not reached.
  bool notExecuted = false;
  int status = 0;
  std::string signature;
};

enum class ScoringAction : std::uint8_t {
  kScored,   ///< the signature of the response is the score; it is valid UTF-8
  kRetry,    ///< retry at another server
  kGivenUp,  ///< the scorer failed too often: the item may be given up
};

/// Tracks the scoring calls for one text. A scorer may be called any number of times; only complete
/// responses that report a failure of the scorer count towards `attempts`. Deterministic.
class ScoringAttempts {
 public:
  explicit ScoringAttempts(std::uint32_t attempts) : m_attempts(attempts) {}

  [[nodiscard]] ScoringAction onResponse(const ScorerResponse& response);
  /// Returns the delay before the next call: zero after a failure of the scorer, because
  /// another server may succeed; exponential backoff while servers reject calls, cannot be reached
  /// or break calls off.
  [[nodiscard]] base::Duration delay() const;
  /// Whether the next call should share its server with as few others as possible.
  [[nodiscard]] bool isSuspect() const { return m_brokenCalls.isSuspect(); }

 private:
  const std::uint32_t m_attempts;
  std::uint32_t m_failures = 0;
  std::uint32_t m_consecutiveRefusals = 0;
  BrokenRunBackoff m_brokenCalls;
};

}  // namespace tackpick::jobs
