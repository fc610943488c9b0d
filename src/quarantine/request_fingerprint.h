/// \file
/// What tells that a request is the same one as before, whoever sends it on and under which id.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tackpick::quarantine {

/// What makes two requests the same one. The id is left out: each try of a caller has another.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< path and query
  std::string_view tenant;  ///< whom it is made for; empty: nobody in particular
  std::string_view body;
};

/// The first half of an HMAC-SHA-256 of a RequestIdentity: nobody can make a request whose
/// fingerprint is that of somebody else's.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  /// 32 hexadecimal digits.
  [[nodiscard]] std::string text() const;
  /// Nothing when `text` is none of those.
  [[nodiscard]] static std::optional<RequestFingerprint> parse(std::string_view text);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

/// `key`: the same in all processes of a cluster. Takes 2 microseconds for 1 KB (estimate), so it
/// is made only of requests that something is known of.
[[nodiscard]] RequestFingerprint fingerprintOf(const RequestIdentity& request,
                                               std::string_view key);

}  // namespace tackpick::quarantine
