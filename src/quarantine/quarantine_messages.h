/// \file
/// Messages and log commands of the quarantine of requests that crash instances.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/serialization.h"
#include "base/time.h"
#include "quarantine/request_fingerprint.h"

namespace tackpick::quarantine {

/// A crash of an instance while it ran a request.
struct Crash {
  RequestFingerprint request;
  std::string service;
  std::string instance;  ///< key of the incarnation

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instance);
  }
};

/// A held request, for operators.
struct HoldSummary {
  RequestFingerprint request;
  std::string service;
  std::set<std::string> instances;  ///< instances that crashed while they ran it
  std::uint32_t trials = 0;
  base::Duration heldFor{0};
  base::Duration untilTrial{0};  ///< zero or less: a trial is due; maximum: no further trial

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instances, trials, heldFor, untilTrial);
  }
};

// Requests to the controllers.

/// Crashes seen by a gateway. The same crash may be reported more than once.
struct ReportCrashes {
  std::vector<Crash> crashes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes);
  }
};

/// Asks whether the gateway may send the held request once.
struct RequestTrial {
  RequestFingerprint request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

/// Lists the held requests, for operators.
struct ReadQuarantine {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// Releases a request after an instance has completed it or when an operator deletes the hold. Also
/// a log command.
struct ReleaseRequest {
  RequestFingerprint request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

// Log commands: one for each request that reaches the maximum number of crashes, and one for each
// trial. Requests that crash no instance cause no log entries.

/// Holds the request: it is sent only for trials.
struct HoldRequest {
  RequestFingerprint request;
  std::string service;
  std::set<std::string> instances;  ///< instances that crashed while they ran it
  base::WallTime at;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instances, at);
  }
};

/// Records a trial of the request.
struct RecordTrial {
  RequestFingerprint request;
  base::WallTime at;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, at);
  }
};

/// A held request, as sent to gateways.
struct HeldRequest {
  RequestFingerprint request;
  base::WallTime nextTrialAt;  ///< cluster time of the next trial
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, nextTrialAt);
  }
};

}  // namespace tackpick::quarantine
