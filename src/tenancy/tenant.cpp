#include "tenancy/tenant.h"

#include <map>
#include <set>

namespace tackpick::tenancy {

base::Result<void> validate(const std::vector<Tenant>& tenants) {
  const KeyDigest emptyKey = digestKey({});
  std::set<std::string> names;
  std::map<KeyDigest, std::string> owners;
  for (const Tenant& tenant : tenants) {
    if (tenant.name.empty() || !names.insert(tenant.name).second) {
      return base::fail(base::ErrorCode::kInvalidInput, "a tenant has an empty or duplicate name");
    }
    for (const KeyDigest& key : tenant.keys) {
      if (key == emptyKey) {
        return base::fail(base::ErrorCode::kInvalidInput,
                          "tenant " + tenant.name + ": key must not be empty");
      }
      const auto [owner, added] = owners.emplace(key, tenant.name);
      if (!added && owner->second != tenant.name) {
        return base::fail(base::ErrorCode::kInvalidInput,
                          "tenants " + owner->second + " and " + tenant.name + " use the same key");
      }
    }
  }
  return {};
}

}  // namespace tackpick::tenancy
