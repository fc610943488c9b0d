#include "node/rejection_log.h"

#include "telemetry/log.h"

namespace tackpick::node {

void RejectionLog::log(int status, std::uint64_t version, std::optional<base::Duration> age,
                       base::TimePoint now) {
  const std::optional<std::uint64_t> requests = m_limiter.shouldLog(now);
  if (!requests) {
    return;
  }
  telemetry::EventFields detail;
  detail.add("status", static_cast<std::uint64_t>(status)).add("version", version);
  if (age) {
    detail.add("age_ms", *age);
  }
  detail.add("requests", *requests);
  telemetry::logEvent(telemetry::EventId::kUnknownRefused, detail.text());
}

}  // namespace tackpick::node
