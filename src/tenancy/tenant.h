/// \file
/// Tenants and the keys with which they may send requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/serialization.h"
#include "tenancy/api_key.h"

namespace tackpick::tenancy {

/// A tenant of a configuration.
struct Tenant {
  std::string name;
  std::vector<KeyDigest> keys;  ///< empty: no request is accepted for this tenant
  std::optional<std::uint32_t> priority = std::nullopt;  ///< overrides the priority of a route

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, priority);
  }
};

/// Returns an error if a tenant has no name or a name in use, an empty key, or a key of another
/// tenant. The message contains names of tenants but no keys.
[[nodiscard]] base::Result<void> validate(const std::vector<Tenant>& tenants);

}  // namespace tackpick::tenancy
