/// Permanent and retryable rejections by age of the configuration.
#include "directory/rejection_policy.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;
using directory::RejectionKind;

namespace {

constexpr base::Duration kMaxStaleness = base::milliseconds(2500);
constexpr base::TimePoint kNow{base::seconds(100)};

}  // namespace

Test(rejection_policy, outdated_configuration_rejects_nothing_permanently) {
  const directory::RejectionPolicy policy(kMaxStaleness);
  cr_assert(policy.classify(kNow - base::milliseconds(500), kNow) == RejectionKind::kPermanent);
  cr_assert(policy.classify(kNow - kMaxStaleness, kNow) == RejectionKind::kPermanent);
  cr_assert(policy.classify(kNow - kMaxStaleness - base::milliseconds(1), kNow) ==
            RejectionKind::kRetryable);
  cr_assert(policy.classify(std::nullopt, kNow) == RejectionKind::kRetryable);
}
