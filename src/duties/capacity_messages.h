/// \file
/// Capacity: how many instances of a service the platform is asked to run. What goes through the
/// controllers' log, and what the platform is told.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/serialization.h"

namespace tackpick::duties {

/// How an instance may end.
enum class InstanceKind : std::uint8_t {
  kOnDemand,     ///< runs until it is given back
  kPreemptible,  ///< cheaper; the platform may take all of a zone away at short notice
};

[[nodiscard]] std::string_view toString(InstanceKind kind);

/// What one call sets: the platform counts each kind of a service's instances in a zone.
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

// From operators, and to them.

struct ReadCapacity {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// What an operator is shown of one kind of a service's instances in a zone.
struct PoolSummary {
  InstancePool subject;
  std::uint32_t desired = 0;  ///< asked for; zero: nothing was
  bool taken = false;         ///< by the platform
  std::uint32_t there = 0;
  std::uint32_t starting = 0;
  std::uint32_t draining = 0;
  std::uint32_t refusals = 0;  ///< in a row: none could be had

  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, desired, taken, there, starting, draining, refusals);
  }
};

// Through the controllers' log.

/// So many instances run without any call of the duty.
struct RecordBaseline {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

/// The platform is going to be asked for so many. Written before the first such call.
struct SetCapacity {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

/// The platform has taken the call for that count.
struct ConfirmCapacity {
  InstancePool subject;
  std::uint32_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(subject, count);
  }
};

// To the platform.

/// A call that only the present holder of the duty may make.
struct ScaleCall {
  InstancePool subject;
  std::uint32_t count = 0;
  std::uint64_t fence = 0;  ///< rises with each holder
};

/// What the platform answered to a ScaleCall.
enum class ScaleOutcome : std::uint8_t {
  kAccepted,
  kRefused,        ///< a higher fence was seen: another holds the duty
  kNoneAvailable,  ///< no preemptible instances can be had in that zone now
  kBusy,           ///< too many calls
  kUnknown,        ///< no answer, or none that says more; it may be carried out later
};

[[nodiscard]] std::string_view toString(ScaleOutcome outcome);

}  // namespace tackpick::duties
