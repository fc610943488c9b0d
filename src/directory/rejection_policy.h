/// \file
/// Whether a gateway may turn a request away for good because its configuration lacks the request's
/// route or key.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::directory {

enum class RejectionKind : std::uint8_t {
  kFinal,  ///< the route or key is not there
  kLater,  ///< it may be there by now: the caller should come again
};

class RejectionPolicy {
 public:
  /// `maxStaleness`: an accepted change is in force everywhere after this time.
  explicit RejectionPolicy(base::Duration maxStaleness) : m_maxStaleness(maxStaleness) {}

  /// `confirmedAt`: up to when the configuration held is known to have been the newest; nothing
  /// when that was never known.
  [[nodiscard]] RejectionKind judge(std::optional<base::TimePoint> confirmedAt,
                                    base::TimePoint now) const;

 private:
  base::Duration m_maxStaleness;
};

}  // namespace tackpick::directory
