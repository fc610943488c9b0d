/// What a gateway may refuse for good, by how old its knowledge is.
#include "directory/rejection_policy.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;
using directory::RejectionKind;

namespace {

constexpr base::Duration kMaxStaleness = base::milliseconds(2500);
constexpr base::TimePoint kNow{base::seconds(100)};

}  // namespace

Test(rejection_policy, knowledge_older_than_a_change_may_take_refuses_nothing_for_good) {
  const directory::RejectionPolicy policy(kMaxStaleness);
  cr_assert(policy.judge(kNow - base::milliseconds(500), kNow) == RejectionKind::kFinal);
  cr_assert(policy.judge(kNow - kMaxStaleness, kNow) == RejectionKind::kFinal);
  cr_assert(policy.judge(kNow - kMaxStaleness - base::milliseconds(1), kNow) ==
            RejectionKind::kLater);
  cr_assert(policy.judge(std::nullopt, kNow) == RejectionKind::kLater);
}
