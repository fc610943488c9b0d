/// \file
/// Which tenants' work goes before the others'.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "tenancy/tenant.h"

namespace tackpick::jobs {

/// The priorities that a configuration gives to tenants. Deterministic.
class TenantPriorities {
 public:
  TenantPriorities() = default;
  explicit TenantPriorities(const std::vector<tenancy::Tenant>& tenants) {
    for (const tenancy::Tenant& tenant : tenants) {
      if (tenant.priority) {
        m_priorities.emplace(tenant.name, *tenant.priority);
      }
    }
  }

  /// The tenant's own priority where it has one, else that of the route; 0 is the highest.
  [[nodiscard]] std::uint32_t of(const std::string& tenant, std::uint32_t ofRoute) const {
    const auto found = m_priorities.find(tenant);
    return found == m_priorities.end() ? ofRoute : found->second;
  }
  bool operator==(const TenantPriorities&) const = default;

 private:
  std::map<std::string, std::uint32_t> m_priorities;
};

}  // namespace tackpick::jobs
