/// \file
/// Tells by which tenant a request was sent.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tenancy/tenant.h"

namespace tackpick::tenancy {

/// The tenants of one configuration.
class TenantTable {
 public:
  TenantTable() = default;
  explicit TenantTable(const std::vector<Tenant>& tenants);

  /// Without tenants no request needs a key.
  [[nodiscard]] bool hasTenants() const { return m_hasTenants; }
  /// The tenant that holds `key`; nothing when none does.
  [[nodiscard]] std::optional<std::string> ownerOf(std::string_view key) const;

  /// Whether a request may go on, and for whom.
  struct Verdict {
    bool allowed = false;
    std::string tenant = {};  ///< empty: nobody in particular
  };
  /// Judges a request that brings `key`, empty when it brings none; `keyRequired` is false on
  /// routes that are open to everybody.
  [[nodiscard]] Verdict judge(std::string_view key, bool keyRequired) const;

 private:
  bool m_hasTenants = false;
  std::map<KeyDigest, std::string> m_owners;
};

}  // namespace tackpick::tenancy
