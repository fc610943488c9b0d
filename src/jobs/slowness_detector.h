/// \file
/// Detects whether a gateway is slow at present.
#pragma once

#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// Settings of a SlownessDetector.
struct SlownessDetectorSettings {
  /// Minimum lag that counts as late; less is normal jitter.
  base::Duration lagThreshold = base::milliseconds(40);
  /// Minimum ratio of the lag to that of the other gateways: if all are late, as on an overloaded
  /// host, none of them is slow.
  int medianFactor = 3;
  /// Time of uninterrupted lateness after which the gateway is slow; longer than one window of an
  /// EventLoopLag.
  base::Duration confirmTime = base::milliseconds(800);
  /// Time without lateness after which a slow gateway has recovered; doubled each time that it
  /// becomes slow again soon after a recovery.
  base::Duration recoveryTime = base::seconds(2);
  base::Duration maxRecoveryTime = base::seconds(16);
  /// Time since recovery after which the recovery time is reset to its initial value.
  base::Duration resetTime = base::seconds(30);
};

/// Detects slowness of a gateway from the lag at each of its calls. Deterministic.
class SlownessDetector {
 public:
  explicit SlownessDetector(SlownessDetectorSettings settings = {}) : m_settings(settings) {}

  /// Adds the lag of the gateway at a call; `baseline` is the lag of the other gateways in its
  /// zone.
  void addSample(base::Duration lag, base::Duration baseline, base::TimePoint now);
  [[nodiscard]] bool isSlow() const { return m_slowSince.has_value(); }
  [[nodiscard]] std::optional<base::TimePoint> slowSince() const { return m_slowSince; }

 private:
  void markSlow(base::TimePoint now);

  SlownessDetectorSettings m_settings;
  /// Time since which the lag contradicts the current state; std::nullopt: no contradiction.
  std::optional<base::TimePoint> m_changePendingSince;
  std::optional<base::TimePoint> m_slowSince;
  std::optional<base::TimePoint> m_recoveredAt;
  base::Duration m_recoveryTime{0};
};

}  // namespace tackpick::jobs
