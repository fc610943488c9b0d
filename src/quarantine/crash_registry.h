/// \file
/// The crashes reported by all gateways, by request.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// Records the instances that crashed while they ran each request. Exists only at the leading
/// controller; gateways report crashes again to a new leader. Deterministic; owned by one thread.
class CrashRegistry {
 public:
  /// Records a crash. Idempotent.
  void record(const Crash& crash, base::TimePoint now);
  /// Returns the instances that crashed while they ran the request.
  [[nodiscard]] std::set<std::string> instances(const RequestFingerprint& request) const;
  void remove(const RequestFingerprint& request) { m_requests.erase(request); }
  void evictExpired(base::TimePoint now);
  void reset() { m_requests.clear(); }

 private:
  struct Suspect {
    std::set<std::string> instances;
    base::TimePoint lastCrashAt{};
  };

  /// Evicts the request with the oldest last crash if the map is full.
  void evictOldest();

  std::map<RequestFingerprint, Suspect> m_requests;
};

}  // namespace tackpick::quarantine
