/// \file
/// Limit on retries, so that failing engines do not multiply the load.
#pragma once

#include <algorithm>

namespace tackpick::routing {

/// Token bucket for retries: a first attempt adds `ratio` tokens and a retry takes one.
class RetryBudget {
 public:
  /// `ratio`: average number of retries per first attempt; `burst`: maximum number of tokens.
  RetryBudget(double ratio, double burst) : ratio_(ratio), m_burst(burst), m_tokens(burst) {}

  void onFirstAttempt() { m_tokens = std::min(m_burst, m_tokens + ratio_); }
  /// Takes a token for a retry; false if the budget is exhausted.
  bool tryAcquire() {
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  double ratio_;
  double m_burst;
  double m_tokens;
};

}  // namespace tackpick::routing
