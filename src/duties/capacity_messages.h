/// \file
/// Messages about capacity, the number of instances of a service: commands in the log of the
/// controllers, calls to the platform, and summaries for operators.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/serialization.h"

namespace tackpick::duties {

/// Whether the platform may preempt an instance.
enum class InstanceKind : std::uint8_t {
  kOnDemand,  ///< runs until it is released
  /// Costs less; the platform may terminate all preemptible instances of a zone at short notice.
  kPreemptible,
};

[[nodiscard]] std::string_view toString(InstanceKind kind);

/// Instances of a service of one kind in one zone. The platform sets the count of each pool
/// separately.
struct InstancePool {
  std::string service;
  std::string zone;
  InstanceKind kind = InstanceKind::kOnDemand;

  auto operator<=>(const InstancePool&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, zone, kind);
  }
};

// Exchanged with operators.

/// Request for the summaries of all pools.
struct ReadCapacity {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// State of a pool as shown to operators.
struct PoolSummary {
  InstancePool subject;
  std::uint32_t desired = 0;  ///< requested count; zero if none was requested
  bool accepted = false;      ///< whether the platform accepted the requested count
  std::uint32_t active = 0;
  std::uint32_t starting = 0;
  std::uint32_t draining = 0;
  std::uint32_t consecutiveFailures = 0;  ///< consecutive calls for which no capacity was available

  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, desired, accepted, active, starting, draining, consecutiveFailures);
  }
};

// Commands in the log of the controllers.

/// Records how many instances of a pool ran before the first call for it.
struct RecordBaseline {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

/// Sets the desired count of a pool. Written before the platform is called with it.
struct SetCapacity {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

/// Records that the platform accepted a call with this count.
struct ConfirmCapacity {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

// Calls to the platform.

/// Call that sets the count of a pool. Only the current leader may make it.
struct ScaleCall {
  InstancePool subject;
  std::uint32_t count = 0;
  std::uint64_t fence = 0;  ///< increases with each leader
};

/// Outcome of a ScaleCall.
enum class ScaleOutcome : std::uint8_t {
  kAccepted,
  kStaleFence,  ///< the platform has received a higher fence from a newer leader
  kNoCapacity,  ///< no preemptible instances are available in the zone
  kThrottled,   ///< rejected by the rate limit of the platform
  kUnknown,     ///< no conclusive answer; the call may still be executed
};

[[nodiscard]] std::string_view toString(ScaleOutcome outcome);

}  // namespace tackpick::duties
