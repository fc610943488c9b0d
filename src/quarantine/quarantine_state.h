/// \file
/// The held requests in the replicated state of the controllers.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// A held request.
struct Hold {
  std::string service;
  std::set<std::string> instances;  ///< instances that crashed while they ran it
  std::uint32_t trials = 0;
  base::WallTime since;        ///< time of the hold
  base::WallTime lastEventAt;  ///< time of the hold or the last trial
  base::WallTime nextTrialAt;  ///< time of the next trial

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, instances, trials, since, lastEventAt, nextTrialAt);
  }
};

/// Part of the controllers' replicated state, so that holds persist when gateways or leaders
/// fail and when all processes restart. Times are cluster times. Deterministic.
class QuarantineState {
 public:
  void apply(const HoldRequest& command);
  void apply(const RecordTrial& command);
  void apply(const ReleaseRequest& command);

  [[nodiscard]] const std::map<RequestFingerprint, Hold>& holds() const { return m_holds; }
  [[nodiscard]] bool isHeld(const RequestFingerprint& request) const {
    return m_holds.contains(request);
  }
  [[nodiscard]] bool isTrialDue(const RequestFingerprint& request, base::WallTime now) const;
  /// Returns the held requests past their retention time.
  [[nodiscard]] std::vector<RequestFingerprint> expired(base::WallTime now) const;
  /// Returns the held requests for gateways.
  [[nodiscard]] std::vector<HeldRequest> heldRequests() const;
  /// Returns the held requests for operators.
  [[nodiscard]] std::vector<HoldSummary> summaries(base::WallTime now) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_holds);
  }

 private:
  /// Evicts the hold with the oldest last event if the map is full.
  void evictOldest();

  std::map<RequestFingerprint, Hold> m_holds;
};

}  // namespace tackpick::quarantine
