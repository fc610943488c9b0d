/// \file
/// Whether a gateway sends a request on, by what it and the controllers know of it.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "duties/cluster_time.h"
#include "quarantine/crash_observer.h"

namespace tackpick::quarantine {

enum class Admission : std::uint8_t {
  kFree,      ///< nothing speaks against it
  kHeld,      ///< it has ended too many instances
  kTrialDue,  ///< held, but a trial may be asked for
};

/// What changed of the held requests with a view.
struct HoldChanges {
  std::vector<RequestFingerprint> held;
  std::vector<RequestFingerprint> released;
};

/// Deterministic; owned by one thread.
class RequestGate {
 public:
  /// What the controllers told. `clusterTime` is that of the view; unset when it tells none.
  HoldChanges onTold(const std::vector<HeldRequest>& held, base::WallTime clusterTime,
                     base::TimePoint now);
  [[nodiscard]] CrashObserver& observer() { return m_observer; }
  [[nodiscard]] const CrashObserver& observer() const { return m_observer; }
  /// Nothing is known of any request: all are free, and no fingerprint needs to be made.
  [[nodiscard]] bool idle() const { return m_held.empty() && m_observer.empty(); }
  /// `wall`: what this machine's clock shows.
  [[nodiscard]] Admission admit(const RequestFingerprint& request, base::TimePoint now,
                                base::WallTime wall) const;
  /// How long a caller should wait until the next trial.
  [[nodiscard]] base::Duration untilTrial(const RequestFingerprint& request, base::TimePoint now,
                                          base::WallTime wall) const;

 private:
  CrashObserver m_observer;
  std::map<RequestFingerprint, base::WallTime> m_held;  ///< with the time of the next trial
  duties::ClusterTimeEstimate m_clusterTime;
};

}  // namespace tackpick::quarantine
