/// \file
/// What follows an answer of an item's scorer.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace tackpick::jobs {

/// A whole answer of a scorer, or the end of a call without one.
struct ScorerResponse {
  bool complete = false;
  bool notRun = false;  ///< the server says so, or was not reached
  int status = 0;
  std::string signature;
};

enum class ScoringStep : std::uint8_t {
  kScored,   ///< the answer's signature is the score
  kRepeat,   ///< call another server
  kGivenUp,  ///< the scorer has failed too often: the item may be given up
};

/// The calls for one text. Deterministic. A scorer may be asked any number of times; only whole
/// answers that report its failure count towards `attempts`.
class ScoringAttempts {
 public:
  explicit ScoringAttempts(std::uint32_t attempts) : m_attempts(attempts) {}

  [[nodiscard]] ScoringStep onResponse(const ScorerResponse& answer);
  /// How long to wait before the next call: nothing after a failure of the scorer, which another
  /// server may not share; a little, growing, while servers refuse or cannot be reached.
  [[nodiscard]] base::Duration delay() const;

 private:
  const std::uint32_t m_attempts;
  std::uint32_t m_failures = 0;
  std::uint32_t m_refusals = 0;  ///< in a row
};

}  // namespace tackpick::jobs
