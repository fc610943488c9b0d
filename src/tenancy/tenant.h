/// \file
/// Tenants: who may send requests, and by which keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/serialization.h"
#include "tenancy/api_key.h"

namespace tackpick::tenancy {

struct Tenant {
  std::string name;
  std::vector<KeyDigest> keys;                           ///< none: nobody can act for it at present
  std::optional<std::uint32_t> priority = std::nullopt;  ///< goes before that of a route

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, priority);
  }
};

/// Fails with what is wrong: a tenant without a name of its own, an empty key, a key of two
/// tenants. The message names tenants, never a key.
[[nodiscard]] base::Result<void> validate(const std::vector<Tenant>& tenants);

}  // namespace tackpick::tenancy
