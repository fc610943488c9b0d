#include "directory/rejection_policy.h"

namespace tackpick::directory {

// What is missing here may have been added since the configuration was confirmed. A gateway that
// has lost the controllers for longer than a change may take would otherwise refuse, for as long as
// they are away, what has long been allowed.
RejectionKind RejectionPolicy::judge(std::optional<base::TimePoint> confirmedAt,
                                     base::TimePoint now) const {
  const bool fresh = confirmedAt && now - *confirmedAt <= m_maxStaleness;
  return fresh ? RejectionKind::kFinal : RejectionKind::kLater;
}

}  // namespace tackpick::directory
