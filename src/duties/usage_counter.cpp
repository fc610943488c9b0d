#include "duties/usage_counter.h"

namespace tackpick::duties {
namespace {

/// Maximum number of windows that are not finalized. Beyond it the oldest window is discarded.
constexpr std::size_t kMaxWindows = 64;

}  // namespace

void UsageCounter::onRequestStarted(const std::string& tenant, base::WallTime at) {
  if (tenant.empty() || m_windowLength == base::Duration{0}) {
    return;
  }
  WindowUsage& usage = m_windows[windowOf(at, m_windowLength)];
  usage.window = windowOf(at, m_windowLength);
  ++usage.counts[tenant];
  ++m_revision;
  if (m_windows.size() > kMaxWindows) {
    m_windows.erase(m_windows.begin());
  }
}

void UsageCounter::discardThrough(WindowNumber window) {
  m_windows.erase(m_windows.begin(), m_windows.upper_bound(window));
}

GatewayUsage UsageCounter::snapshot(base::WallTime now) const {
  GatewayUsage usage;
  if (m_windowLength == base::Duration{0}) {
    return usage;
  }
  usage.currentWindow = windowOf(now, m_windowLength);
  for (const auto& [window, counted] : m_windows) {
    usage.windows.push_back(counted);
  }
  return usage;
}

}  // namespace tackpick::duties
