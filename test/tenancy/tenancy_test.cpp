/// Tests tenants, their keys, and the authorization of requests.
#include <criterion/criterion.h>

#include "tenancy/tenant_table.h"

namespace base = tackpick::base;
namespace tenancy = tackpick::tenancy;

namespace {

tenancy::Tenant tenant(const std::string& name, const std::vector<std::string>& keys) {
  tenancy::Tenant result;
  result.name = name;
  for (const std::string& key : keys) {
    result.keys.push_back(tenancy::digestKey(key));
  }
  return result;
}

/// Returns the message of the validation error, empty if the tenants are valid.
std::string validationError(const std::vector<tenancy::Tenant>& tenants) {
  return base::recover(
      [&]() -> base::Result<std::string> {
        BOOST_LEAF_CHECK(tenancy::validate(tenants));
        return std::string();
      },
      [](const base::Error& error) { return error.message; });
}

}  // namespace

Test(tenants, are_valid_with_unique_names_and_keys) {
  cr_assert_eq(validationError({tenant("a", {"k1", "k2"}), tenant("b", {})}), "");
  cr_assert_neq(validationError({tenant("a", {"k"}), tenant("a", {"l"})}), "");
  cr_assert_neq(validationError({tenant("", {"k"})}), "");
  cr_assert_neq(validationError({tenant("a", {""})}), "");
}

Test(tenants, shared_key_is_rejected_and_not_shown) {
  const std::string problem = validationError({tenant("a", {"secret"}), tenant("b", {"secret"})});
  cr_assert_neq(problem.find("a and b"), std::string::npos);
  cr_assert_eq(problem.find("secret"), std::string::npos);
}

Test(tenant_table, authorizes_by_key) {
  const tenancy::TenantTable table({tenant("a", {"k1", "k2"}), tenant("b", {"k3"})});
  cr_assert_eq(table.authorize("k2", true).tenant, "a");
  cr_assert_eq(table.authorize("k3", true).tenant, "b");
  for (const char* unknown : {"", "k", "k22", "K1"}) {
    cr_assert_not(table.authorize(unknown, true).allowed, "%s", unknown);
  }
}

Test(tenant_table, open_routes_need_no_key_but_recognize_a_valid_one) {
  const tenancy::TenantTable table({tenant("a", {"k"})});
  cr_assert(table.authorize("", false).allowed);
  cr_assert_eq(table.authorize("", false).tenant, "");
  cr_assert(table.authorize("unknown", false).allowed);
  cr_assert_eq(table.authorize("k", false).tenant, "a");
}

Test(tenant_table, no_key_is_needed_without_tenants) {
  const tenancy::TenantTable table;
  cr_assert(table.authorize("", true).allowed);
  cr_assert(table.authorize("anything", true).allowed);
  cr_assert_eq(table.authorize("anything", true).tenant, "");
}

Test(key_digest, is_sha256) {
  const tenancy::KeyDigest digest = tenancy::digestKey("abc");
  cr_assert_eq(digest.bytes[0], 0xba);
  cr_assert_eq(digest.bytes[31], 0xad);
}
