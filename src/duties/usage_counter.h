/// \file
/// Counts the requests that a gateway started, by tenant and window.
#pragma once

#include "duties/usage_messages.h"

namespace tackpick::duties {

/// Counts started requests. Windows refer to the cluster time. Deterministic; owned by one thread.
class UsageCounter {
 public:
  /// A `windowLength` of zero disables counting.
  explicit UsageCounter(base::Duration windowLength) : m_windowLength(windowLength) {}

  /// Counts a request of `tenant`, unless the name is empty.
  void onRequestStarted(const std::string& tenant, base::WallTime at);
  /// Discards the counts of finalized windows, up to and including `window`.
  void discardThrough(WindowNumber window);
  /// Returns all counts that are not discarded.
  [[nodiscard]] GatewayUsage snapshot(base::WallTime now) const;
  /// Returns a number that increases with each counted request.
  [[nodiscard]] std::uint64_t revision() const { return m_revision; }

 private:
  const base::Duration m_windowLength;
  std::map<WindowNumber, WindowUsage> m_windows;
  std::uint64_t m_revision = 0;
};

}  // namespace tackpick::duties
