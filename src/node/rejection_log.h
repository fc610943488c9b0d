/// \file
/// Tells of requests that a gateway turns away because it does not know their route or key.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "telemetry/log_rate_limiter.h"

namespace tackpick::node {

/// Callers decide how often this happens, so there is at most one line a second.
class RejectionLog {
 public:
  /// `version`: of the configuration that decided; `age`: since a controller confirmed that it is
  /// the newest, nothing when none did.
  void note(int status, std::uint64_t version, std::optional<base::Duration> age,
            base::TimePoint now);

 private:
  telemetry::LogRateLimiter m_limiter{base::seconds(1)};
};

}  // namespace tackpick::node
