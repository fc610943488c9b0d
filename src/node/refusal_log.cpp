#include "node/refusal_log.h"

#include "telemetry/log.h"

namespace tackpick::node {
namespace {

constexpr base::Duration kInterval = base::seconds(1);

}  // namespace

void RefusalLog::note(int status, std::uint64_t version, std::optional<base::Duration> age,
                      base::TimePoint now) {
  ++m_untold;
  if (m_toldAt && now - *m_toldAt < kInterval) {
    return;
  }
  telemetry::Detail detail;
  detail.add("status", static_cast<std::uint64_t>(status)).add("version", version);
  if (age) {
    detail.add("age_ms", *age);
  }
  detail.add("requests", m_untold);
  telemetry::logEvent(telemetry::EventId::kUnknownRefused, detail.text());
  m_toldAt = now;
  m_untold = 0;
}

}  // namespace tackpick::node
