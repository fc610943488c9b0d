/// \file
/// A bound on retries, so that failing engines do not multiply the load.
#pragma once

#include <algorithm>

namespace tackpick::routing {

/// Each first attempt earns a share of a retry; each retry spends one.
class RetryBudget {
 public:
  /// `ratio`: retries per first attempt in the long run; `reserve`: retries available at once.
  RetryBudget(double ratio, double reserve) : ratio_(ratio), reserve_(reserve), level_(reserve) {}

  void onFirstAttempt() { level_ = std::min(reserve_, level_ + ratio_); }
  /// Spends a retry; false when the budget is used up.
  bool spend() {
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }

 private:
  double ratio_;
  double reserve_;
  double level_;
};

}  // namespace tackpick::routing
