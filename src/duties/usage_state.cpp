#include "duties/usage_state.h"

#include <algorithm>

namespace tackpick::duties {

void mergeUsage(WindowUsage& into, const WindowUsage& from) {
  into.window = from.window;
  for (const auto& [tenant, count] : from.counts) {
    std::uint64_t& knownCount = into.counts[tenant];
    knownCount = std::max(knownCount, count);
  }
}

void UsageState::apply(const StartUsageReporting& command) {
  if (!m_nextWindow) {
    m_nextWindow = command.window;
  }
}

void UsageState::apply(const RecordUsage& command) {
  for (const WindowUsage& usage : command.windows) {
    if (m_nextWindow && usage.window >= *m_nextWindow) {
      mergeUsage(m_recorded[usage.window][command.gateway], usage);
    }
  }
}

void UsageState::apply(const FinalizeUsage& command) {
  if (m_nextWindow != command.usage.window) {
    return;
  }
  m_unreported[command.usage.window] = command.usage;
  m_recorded.erase(m_recorded.begin(), m_recorded.upper_bound(command.usage.window));
  m_nextWindow = command.usage.window + 1;
}

void UsageState::apply(const ConfirmUsage& command) { m_unreported.erase(command.window); }

}  // namespace tackpick::duties
