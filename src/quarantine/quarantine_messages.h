/// \file
/// What gateways tell the controllers of requests that end the instances that run them, and what
/// of that goes through the controllers' log.
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

/// An instance that ended while it ran a request.
struct Crash {
  RequestFingerprint request;
  std::string service;
  std::string instance;  ///< key of its incarnation

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instance);
  }
};

/// A held request as operators see it.
struct HoldSummary {
  RequestFingerprint request;
  std::string service;
  std::set<std::string> instances;  ///< that had ended under it when it was held
  std::uint32_t trials = 0;
  base::Duration heldFor{0};
  base::Duration untilTrial{0};  ///< zero or less: one is due; the longest there is: none follows

  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instances, trials, heldFor, untilTrial);
  }
};

// Requests to the controllers.

/// From gateways. The same crash may be told more than once.
struct ReportCrashes {
  std::vector<Crash> crashes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes);
  }
};

/// May the asking gateway send the held request once?
struct RequestTrial {
  RequestFingerprint request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

/// For operators: what is held.
struct ReadQuarantine {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// An instance has run it to the end, or an operator says so: nothing is held against it any more.
/// Also a command of the log.
struct ReleaseRequest {
  RequestFingerprint request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

// Through the log. There is one entry for each request that ended as many instances as are allowed,
// and for each trial: none for sound requests, whose number is not bounded.

/// The request is sent nowhere any more, but for trials.
struct HoldRequest {
  RequestFingerprint request;
  std::string service;
  std::set<std::string> instances;  ///< that ended under it
  base::WallTime at;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, service, instances, at);
  }
};

/// The request is sent once more.
struct RecordTrial {
  RequestFingerprint request;
  base::WallTime at;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, at);
  }
};

/// A held request as gateways are told.
struct HeldRequest {
  RequestFingerprint request;
  base::WallTime trialAt;  ///< the next trial may be asked for; in the cluster's time
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, trialAt);
  }
};

}  // namespace tackpick::quarantine
