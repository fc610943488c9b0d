/// \file
/// Whether a gateway is slow at the moment.
#pragma once

#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// Knobs of a SlownessDetector.
struct SlownessDetectorSettings {
  /// Two ticks of an event loop: less is the usual jitter.
  base::Duration late = base::milliseconds(40);
  /// When all gateways are late, as on a full host, none of them is slow.
  int timesUsual = 3;
  /// Late for so long without a break: longer than one window of a EventLoopLag.
  base::Duration confirm = base::milliseconds(800);
  /// In time for so long without a break; doubled each time that the gateway turns slow again soon.
  base::Duration recover = base::seconds(2);
  base::Duration maxRecover = base::seconds(16);
  /// Sound for so long, it counts as one that never was slow.
  base::Duration forgive = base::seconds(30);
};

/// Deterministic. Fed with each call of the gateway.
class SlownessDetector {
 public:
  explicit SlownessDetector(SlownessDetectorSettings settings = {}) : m_settings(settings) {}

  /// `lateness` is the gateway's, `usual` that of the gateways around it.
  void note(base::Duration lateness, base::Duration usual, base::TimePoint now);
  [[nodiscard]] bool isSlow() const { return m_slowSince.has_value(); }
  [[nodiscard]] std::optional<base::TimePoint> slowSince() const { return m_slowSince; }

 private:
  void beginSlow(base::TimePoint now);

  SlownessDetectorSettings m_settings;
  /// Since when it has not been what it counts as.
  std::optional<base::TimePoint> m_otherSince;
  std::optional<base::TimePoint> m_slowSince;
  std::optional<base::TimePoint> m_recoveredAt;
  base::Duration m_recover{0};
};

}  // namespace tackpick::jobs
