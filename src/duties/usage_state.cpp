#include "duties/usage_state.h"

#include <algorithm>

namespace tackpick::duties {

void mergeUsage(WindowUsage& into, const WindowUsage& from) {
  into.window = from.window;
  for (const auto& [tenant, count] : from.counts) {
    std::uint64_t& known = into.counts[tenant];
    known = std::max(known, count);
  }
}

void UsageState::apply(const StartUsageReporting& command) {
  if (!m_next) {
    m_next = command.window;
  }
}

void UsageState::apply(const RecordUsage& command) {
  for (const WindowUsage& usage : command.windows) {
    if (m_next && usage.window >= *m_next) {
      mergeUsage(m_noted[usage.window][command.gateway], usage);
    }
  }
}

void UsageState::apply(const FinalizeUsage& command) {
  if (m_next != command.usage.window) {
    return;
  }
  m_unreported[command.usage.window] = command.usage;
  m_noted.erase(m_noted.begin(), m_noted.upper_bound(command.usage.window));
  m_next = command.usage.window + 1;
}

void UsageState::apply(const ConfirmUsage& command) { m_unreported.erase(command.window); }

}  // namespace tackpick::duties
