#include "quarantine/request_fingerprint.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <cstring>

namespace tackpick::quarantine {
namespace {

/// Each part is preceded by its length, so that no two identities give the same bytes.
void append(std::string& bytes, std::string_view part) {
  const std::uint64_t size = part.size();
  bytes.append(reinterpret_cast<const char*>(&size), sizeof(size));  // NOLINT(*-reinterpret-cast)
  bytes.append(part);
}

}  // namespace

std::string RequestFingerprint::text() const {
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64 "%016" PRIx64, high, low);
  return {digits.data(), kDigits};
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text) {
  constexpr std::size_t kHalfDigits = 16;
  constexpr int kHexadecimal = 16;
  if (text.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  RequestFingerprint parsed;
  const char* middle = text.data() + kHalfDigits;
  const auto high = std::from_chars(text.data(), middle, parsed.high, kHexadecimal);
  const auto low = std::from_chars(middle, middle + kHalfDigits, parsed.low, kHexadecimal);
  const bool isValid = high.ec == std::errc() && high.ptr == middle && low.ec == std::errc() &&
                       low.ptr == middle + kHalfDigits;
  return isValid ? std::optional(parsed) : std::nullopt;
}

RequestFingerprint fingerprintOf(const RequestIdentity& request, std::string_view key) {
  std::string bytes;
  for (const std::string_view part :
       {request.method, request.host, request.target, request.tenant, request.body}) {
    append(bytes, part);
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()),  // NOLINT(*-reinterpret-cast)
       bytes.size(), digest.data(), &size);
  RequestFingerprint fingerprint;
  std::memcpy(&fingerprint.high, digest.data(), sizeof(fingerprint.high));
  std::memcpy(&fingerprint.low, digest.data() + sizeof(fingerprint.high), sizeof(fingerprint.low));
  return fingerprint;
}

}  // namespace tackpick::quarantine
