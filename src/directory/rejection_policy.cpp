#include "directory/rejection_policy.h"

namespace tackpick::directory {

// A route or key may have been added after the configuration was last confirmed. A gateway that
// cannot reach the controllers must not permanently reject such requests.
RejectionKind RejectionPolicy::classify(std::optional<base::TimePoint> confirmedAt,
                                        base::TimePoint now) const {
  const bool fresh = confirmedAt && now - *confirmedAt <= m_maxStaleness;
  return fresh ? RejectionKind::kPermanent : RejectionKind::kRetryable;
}

}  // namespace tackpick::directory
