#include "tenancy/api_key.h"

#include <openssl/sha.h>

namespace tackpick::tenancy {

static_assert(KeyDigest::kBytes == SHA256_DIGEST_LENGTH);

KeyDigest digestKey(std::string_view key) {
  KeyDigest digest;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): reads the bytes of a string
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
  return digest;
}

}  // namespace tackpick::tenancy
