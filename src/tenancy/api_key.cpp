#include "tenancy/api_key.h"

#include <openssl/sha.h>

namespace tackpick::tenancy {

static_assert(KeyDigest::kBytes == SHA256_DIGEST_LENGTH);

KeyDigest digestKey(std::string_view key) {
  KeyDigest digest;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): bytes of a text
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
  return digest;
}

}  // namespace tackpick::tenancy
