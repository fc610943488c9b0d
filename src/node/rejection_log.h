/// \file
/// Logs requests that a gateway rejects because their route or key is unknown.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "telemetry/log_rate_limiter.h"

namespace tackpick::node {

/// Limited to one line per second, since callers determine the rate.
class RejectionLog {
 public:
  /// Logs a rejection. `version` is the version of the configuration in force, `age` the time since
  /// a controller confirmed that it is the newest; std::nullopt if none has.
  void log(int status, std::uint64_t version, std::optional<base::Duration> age,
           base::TimePoint now);

 private:
  telemetry::LogRateLimiter m_limiter{base::seconds(1)};
};

}  // namespace tackpick::node
