/// \file
/// Priorities of tenants.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "tenancy/tenant.h"

namespace tackpick::jobs {

/// Priorities of tenants according to the configuration. Deterministic.
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

  /// Returns the tenant's own priority if it has one, else that of the route; 0 is the highest.
  [[nodiscard]] std::uint32_t priorityOf(const std::string& tenant,
                                         std::uint32_t routePriority) const {
    const auto found = m_priorities.find(tenant);
    return found == m_priorities.end() ? routePriority : found->second;
  }
  bool operator==(const TenantPriorities&) const = default;

 private:
  std::map<std::string, std::uint32_t> m_priorities;
};

}  // namespace tackpick::jobs
