/// \file
/// Pauses between the runs of an item whose runs broke off.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {

/// Delays the next run of an item, or the next scoring call of its text, after runs that ended
/// without a response, perhaps because the instance crashed. An accepted item is always run again;
/// the pauses only limit how fast an item that does crash instances can do so. Deterministic.
class BrokenRunBackoff {
 public:
  /// Records a run that ended without a response although it may have started.
  void onBroken() { ++m_brokenRuns; }
  /// Returns the delay before the next run. Zero after the first broken run, which is more likely
  /// caused by the instance or by another request on it.
  [[nodiscard]] base::Duration delay() const;
  /// Whether the next run should share its instance with as few others as possible.
  [[nodiscard]] bool isSuspect() const { return m_brokenRuns > 1; }

 private:
  std::uint32_t m_brokenRuns = 0;
};

}  // namespace tackpick::jobs
