/// \file
/// The crashes that all gateways have told, by request.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// The leading controller's memory; a new leader is told anew. Deterministic; owned by one thread.
class CrashTally {
 public:
  /// Takes in a crash; telling it again changes nothing.
  void note(const Crash& crash, base::TimePoint now);
  /// Instances that ended under the request.
  [[nodiscard]] std::set<std::string> instances(const RequestFingerprint& request) const;
  void forget(const RequestFingerprint& request) { m_requests.erase(request); }
  void forgetOld(base::TimePoint now);
  void reset() { m_requests.clear(); }

 private:
  struct Suspect {
    std::set<std::string> instances;
    base::TimePoint lastAt{};
  };

  void makeRoom();

  std::map<RequestFingerprint, Suspect> m_requests;
};

}  // namespace tackpick::quarantine
