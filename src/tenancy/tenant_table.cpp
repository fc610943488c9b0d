#include "tenancy/tenant_table.h"

namespace tackpick::tenancy {

TenantTable::TenantTable(const std::vector<Tenant>& tenants) : m_hasTenants(!tenants.empty()) {
  for (const Tenant& tenant : tenants) {
    for (const KeyDigest& key : tenant.keys) {
      m_owners.emplace(key, tenant.name);
    }
  }
}

std::optional<std::string> TenantTable::ownerOf(std::string_view key) const {
  if (key.empty()) {
    return std::nullopt;
  }
  const auto owner = m_owners.find(digestKey(key));
  return owner == m_owners.end() ? std::nullopt : std::optional(owner->second);
}

TenantTable::Verdict TenantTable::judge(std::string_view key, bool keyRequired) const {
  if (!m_hasTenants) {
    return {true};
  }
  const std::optional<std::string> owner = ownerOf(key);
  if (owner) {
    return {true, *owner};
  }
  return {!keyRequired};
}

}  // namespace tackpick::tenancy
