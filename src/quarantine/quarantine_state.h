/// \file
/// The requests that are held, as the controllers' log says.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// One held request.
struct Hold {
  std::string service;
  std::set<std::string> instances;  ///< that had ended under it when it was held
  std::uint32_t trials = 0;
  base::WallTime since;    ///< of the hold
  base::WallTime lastAt;   ///< of the hold, or of the last trial
  base::WallTime trialAt;  ///< the next trial is due

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, instances, trials, since, lastAt, trialAt);
  }
};

/// Part of the controllers' replicated state: a hold outlives its gateways, its leader, and a
/// restart of all processes. Times are the cluster's. Deterministic.
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
  /// Holds that have outlived their memory.
  [[nodiscard]] std::vector<RequestFingerprint> outlived(base::WallTime now) const;
  /// As gateways are told.
  [[nodiscard]] std::vector<HeldRequest> told() const;
  /// As operators are told.
  [[nodiscard]] std::vector<HoldSummary> summaries(base::WallTime now) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_holds);
  }

 private:
  void makeRoom();

  std::map<RequestFingerprint, Hold> m_holds;
};

}  // namespace tackpick::quarantine
