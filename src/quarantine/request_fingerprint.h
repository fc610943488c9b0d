/// \file
/// Identification of repeated requests, independent of gateway and request id.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tackpick::quarantine {

/// Parts that identify a request. The request id is excluded because each retry has a new one.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< path and query
  std::string_view tenant;  ///< empty: no tenant
  std::string_view body;
};

/// The first half of an HMAC-SHA-256 of a RequestIdentity, so that callers cannot forge another
/// request's fingerprint.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// Returns the fingerprint as 32 hexadecimal digits.
  [[nodiscard]] std::string text() const;
  /// Parses text(); std::nullopt if malformed.
  [[nodiscard]] static std::optional<RequestFingerprint> parse(std::string_view text);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// Returns the fingerprint of a request. `key` must be the same in all processes of a cluster.
/// Hashes the entire body, an estimated 2 microseconds per KB, so it is called only if a request is
/// suspected or held.
[[nodiscard]] RequestFingerprint fingerprintOf(const RequestIdentity& request,
                                               std::string_view key);

}  // namespace tackpick::quarantine
