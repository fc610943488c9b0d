/// \file
/// Detection of instance crashes at one gateway.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// Settings of a CrashDetector.
struct CrashDetectorSettings {
  /// Time after a lost connection within which a response of the instance clears the suspicion;
  /// otherwise the crash is confirmed.
  base::Duration confirmationDelay = base::milliseconds(300);
  /// Minimum time after a crash until the restarted process can serve.
  base::Duration minRestartTime = base::milliseconds(800);
  /// Maximum time for which a response sent before a crash may be in transit.
  base::Duration maxResponseDelay = base::milliseconds(100);
};

/// Detects instances that crashed while they ran a request. A lost connection alone is no proof,
/// since the network or a running server may have closed it; a later response of the instance
/// clears the request. Deterministic; owned by one thread.
class CrashDetector {
 public:
  explicit CrashDetector(CrashDetectorSettings settings = {}) : m_settings(settings) {}

  /// Records that the connection was lost before the response was complete. The request may have
  /// started to run.
  void onConnectionLost(const Crash& crash, base::TimePoint now);
  /// Records that the instance responded to a request sent at `sentAt`.
  void onAnswered(const std::string& instance, base::TimePoint sentAt, base::TimePoint now);
  /// Number of instances that crashed while they ran the request, including unconfirmed crashes.
  [[nodiscard]] std::size_t crashCount(const RequestFingerprint& request) const;
  /// Returns the crashes confirmed since the last call.
  [[nodiscard]] std::vector<Crash> takeConfirmed(base::TimePoint now);
  /// Makes takeConfirmed() return all crashes again, after a change of leader or a failed report.
  void resetReported();
  /// Drops all crashes of a request that an instance has completed.
  void remove(const RequestFingerprint& request) { m_suspects.erase(request); }
  [[nodiscard]] bool empty() const { return m_suspects.empty(); }

 private:
  struct SuspectedCrash {
    Crash crash;
    base::TimePoint connectionLostAt{};
    bool confirmed = false;
    bool reported = false;
  };
  using SuspectedCrashes = std::map<std::string, SuspectedCrash>;  ///< by instance

  [[nodiscard]] bool provesAlive(const SuspectedCrash& suspected, base::TimePoint sentAt,
                                 base::TimePoint now) const;
  void evictExpired(base::TimePoint now);
  /// Drops requests without remaining crashes.
  void removeEmpty();
  /// Evicts the request with the oldest last crash if the map is full.
  void evictOldest();

  const CrashDetectorSettings m_settings;
  /// Earliest time at which a crash may be confirmed or expire. Avoids iterating over all suspects
  /// on every tick.
  base::TimePoint m_nextCheckAt = base::TimePoint::max();
  std::map<RequestFingerprint, SuspectedCrashes> m_suspects;
};

}  // namespace tackpick::quarantine
