#include "transport/shared_key.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <fstream>
#include <sstream>

namespace tackpick::transport {

base::Bytes hmacSha256(const base::Bytes& key, const base::Bytes& message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
       &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool constantTimeEquals(const base::Bytes& left, const base::Bytes& right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

base::Bytes randomBytes(std::size_t count) {
  base::Bytes bytes(count, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
  return bytes;
}

std::string sha256Hex(const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kHighDigitShift = 4;
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex.push_back(kDigits[digest[i] >> kHighDigitShift]);
    hex.push_back(kDigits[digest[i] & 0xfU]);
  }
  return hex;
}

base::Result<base::Bytes> readKeyFile(const std::string& path) {
  constexpr std::size_t kMinKey = 16;
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return base::fail(base::ErrorCode::kNotFound, path + ": cannot be read");
  }
  std::ostringstream content;
  content << stream.rdbuf();
  base::Bytes key = std::move(content).str();
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (key.size() < kMinKey) {
    return base::fail(base::ErrorCode::kInvalidInput, path + ": expected at least 16 bytes");
  }
  return key;
}

}  // namespace tackpick::transport
