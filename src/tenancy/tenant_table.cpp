#include "tenancy/tenant_table.h"

namespace tackpick::tenancy {

TenantTable::TenantTable(const std::vector<Tenant>& tenants) : m_hasTenants(!tenants.empty()) {
  for (const Tenant& tenant : tenants) {
    for (const KeyDigest& key : tenant.keys) {
      m_tenantsByKey.emplace(key, tenant.name);
    }
  }
}

std::optional<std::string> TenantTable::findTenant(std::string_view key) const {
  if (key.empty()) {
    return std::nullopt;
  }
  const auto tenant = m_tenantsByKey.find(digestKey(key));
  return tenant == m_tenantsByKey.end() ? std::nullopt : std::optional(tenant->second);
}

TenantTable::AccessDecision TenantTable::authorize(std::string_view key, bool keyRequired) const {
  if (!m_hasTenants) {
    return {true};
  }
  const std::optional<std::string> tenant = findTenant(key);
  if (tenant) {
    return {true, *tenant};
  }
  return {!keyRequired};
}

}  // namespace tackpick::tenancy
