/// \file
/// Classifies rejections of requests whose route or key is not in the gateway's configuration.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::directory {

enum class RejectionKind : std::uint8_t {
  kPermanent,  ///< the route or key does not exist
  kRetryable,  ///< it may have been added; the caller should retry
};

class RejectionPolicy {
 public:
  /// `maxStaleness`: time after which an accepted change is applied at all gateways.
  explicit RejectionPolicy(base::Duration maxStaleness) : m_maxStaleness(maxStaleness) {}

  /// `confirmedAt`: last time at which the held configuration was confirmed to be the newest;
  /// std::nullopt if never.
  [[nodiscard]] RejectionKind classify(std::optional<base::TimePoint> confirmedAt,
                                       base::TimePoint now) const;

 private:
  base::Duration m_maxStaleness;
};

}  // namespace tackpick::directory
