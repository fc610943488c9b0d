/// \file
/// The verdict says whether a request may have run. It accompanies every error.
#pragma once

#include <cstdint>
#include <string_view>

namespace tackpick::base {

enum class Verdict : std::uint8_t {
  /// No engine ran any part of it: safe to send again anywhere.
  kNotRun,
  /// It is unknown whether an engine ran it, or it ran in part.
  kMayHaveRun,
  /// An engine ran it to its end.
  kRan,
};

/// The verdict over several attempts: once something may have run, a later refusal cannot take it
/// back.
[[nodiscard]] constexpr Verdict combine(Verdict earlier, Verdict later) {
  return earlier > later ? earlier : later;
}

/// Name used in HTTP bodies and headers: `not_run`, `may_have_run` or `ran`.
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
