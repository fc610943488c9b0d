/// \file
/// Decides whether a gateway may send a request.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "duties/cluster_time.h"
#include "quarantine/crash_detector.h"

namespace tackpick::quarantine {

enum class Admission : std::uint8_t {
  kFree,      ///< not held
  kHeld,      ///< crashed too many instances
  kTrialDue,  ///< held, but a trial may be requested
};

/// Requests newly held or released by a view.
struct HoldChanges {
  std::vector<RequestFingerprint> held;
  std::vector<RequestFingerprint> released;
};

/// Combines the requests held by the controllers with the crashes seen by this gateway.
/// Deterministic; owned by one thread.
class QuarantineGate {
 public:
  /// Applies the held requests of a view. `clusterTime` is unset if the view contains no time.
  HoldChanges onHeldRequests(const std::vector<HeldRequest>& held, base::WallTime clusterTime,
                             base::TimePoint now);
  [[nodiscard]] CrashDetector& detector() { return m_detector; }
  [[nodiscard]] const CrashDetector& detector() const { return m_detector; }
  /// Whether no request is suspected or held, so that no fingerprint needs to be computed.
  [[nodiscard]] bool idle() const { return m_held.empty() && m_detector.empty(); }
  /// Whether the request may be sent. `wall`: time of this machine's clock.
  [[nodiscard]] Admission admit(const RequestFingerprint& request, base::TimePoint now,
                                base::WallTime wall) const;
  /// Time until the next trial, for callers that retry.
  [[nodiscard]] base::Duration untilTrial(const RequestFingerprint& request, base::TimePoint now,
                                          base::WallTime wall) const;

 private:
  CrashDetector m_detector;
  std::map<RequestFingerprint, base::WallTime> m_held;  ///< times of the next trials, by request
  duties::ClusterTimeEstimate m_clusterTime;
};

}  // namespace tackpick::quarantine
