/// \file
/// Finds the tenant of a request by its API key.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tenancy/tenant.h"

namespace tackpick::tenancy {

/// Tenants of one configuration.
class TenantTable {
 public:
  TenantTable() = default;
  explicit TenantTable(const std::vector<Tenant>& tenants);

  /// Whether any tenant is configured. Without tenants no request needs a key.
  [[nodiscard]] bool hasTenants() const { return m_hasTenants; }
  /// Returns the tenant with this key, std::nullopt if none.
  [[nodiscard]] std::optional<std::string> findTenant(std::string_view key) const;

  /// Result of the authorization of a request.
  struct AccessDecision {
    bool allowed = false;
    std::string tenant = {};  ///< empty if the request belongs to no tenant
  };
  /// Authorizes a request with `key`, which is empty if the request has none. `keyRequired` is
  /// false on open routes.
  [[nodiscard]] AccessDecision authorize(std::string_view key, bool keyRequired) const;

 private:
  bool m_hasTenants = false;
  std::map<KeyDigest, std::string> m_tenantsByKey;  ///< names of tenants
};

}  // namespace tackpick::tenancy
