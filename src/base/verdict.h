/// \file
/// Whether a request may have run on an engine. Sent with every error.
#pragma once

#include <cstdint>
#include <string_view>

namespace tackpick::base {

/// Whether a request ran on an engine, in increasing order of certainty that it did.
enum class Verdict : std::uint8_t {
  /// No engine ran any part of the request. It is safe to send it again.
  kNotRun,
  /// The request ran in part, or it is unknown whether it ran.
  kMayHaveRun,
  /// An engine ran the request to completion.
  kRan,
};

/// Returns the verdict on two attempts at the same request: the one closer to kRan.
[[nodiscard]] constexpr Verdict combine(Verdict earlier, Verdict later) {
  return earlier > later ? earlier : later;
}

/// Returns the name used in HTTP bodies and headers: `not_run`, `may_have_run` or `ran`.
[[nodiscard]] constexpr std::string_view toString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace tackpick::base
