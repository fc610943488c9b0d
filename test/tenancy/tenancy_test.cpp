/// Tenants, their keys, and who may send what.
#include <criterion/criterion.h>

#include "tenancy/tenant_table.h"

namespace base = tackpick::base;
namespace tenancy = tackpick::tenancy;

namespace {

tenancy::Tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  tenancy::Tenant made;
  made.name = name;
  for (const std::string& key : keys) {
    made.keys.push_back(tenancy::digestKey(key));
  }
  return made;
}

/// What is wrong with the tenants; empty: nothing.
std::string problemOf(const std::vector<tenancy::Tenant>& tenants) {
  return base::recover(
      [&]() -> base::Result<std::string> {
        BOOST_LEAF_CHECK(tenancy::validate(tenants));
        return std::string();
      },
      [](const base::Error& error) { return error.message; });
}

}  // namespace

Test(tenants, are_valid_with_names_and_keys_of_their_own) {
  cr_assert_eq(problemOf({tenant("a", {"k1", "k2"}), tenant("b", {})}), "");
  cr_assert_neq(problemOf({tenant("a", {"k"}), tenant("a", {"l"})}), "");
  cr_assert_neq(problemOf({tenant("", {"k"})}), "");
  cr_assert_neq(problemOf({tenant("a", {""})}), "");
}

Test(tenants, a_common_key_is_refused_and_not_shown) {
  const std::string problem = problemOf({tenant("a", {"secret"}), tenant("b", {"secret"})});
  cr_assert_neq(problem.find("a and b"), std::string::npos);
  cr_assert_eq(problem.find("secret"), std::string::npos);
}

Test(tenant_table, judges_by_the_key) {
  const tenancy::TenantTable table({tenant("a", {"k1", "k2"}), tenant("b", {"k3"})});
  cr_assert_eq(table.judge("k2", true).tenant, "a");
  cr_assert_eq(table.judge("k3", true).tenant, "b");
  for (const char* unknown : {"", "k", "k22", "K1"}) {
    cr_assert_not(table.judge(unknown, true).allowed, "%s", unknown);
  }
}

Test(tenant_table, open_routes_need_no_key_and_know_a_good_one) {
  const tenancy::TenantTable table({tenant("a", {"k"})});
  cr_assert(table.judge("", false).allowed);
  cr_assert_eq(table.judge("", false).tenant, "");
  cr_assert(table.judge("unknown", false).allowed);
  cr_assert_eq(table.judge("k", false).tenant, "a");
}

Test(tenant_table, without_tenants_nobody_needs_a_key) {
  const tenancy::TenantTable table;
  cr_assert(table.judge("", true).allowed);
  cr_assert(table.judge("anything", true).allowed);
  cr_assert_eq(table.judge("anything", true).tenant, "");
}

Test(key_digest, is_sha256) {
  const tenancy::KeyDigest digest = tenancy::digestKey("abc");
  cr_assert_eq(digest.bytes[0], 0xba);
  cr_assert_eq(digest.bytes[31], 0xad);
}
