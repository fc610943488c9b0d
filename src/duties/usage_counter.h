/// \file
/// A gateway's count of the requests that began to run.
#pragma once

#include "duties/usage_messages.h"

namespace tackpick::duties {

/// Deterministic; owned by one thread. Windows of true time are those of the controllers' leader.
class UsageCounter {
 public:
  /// `windowLength` zero: nothing is counted.
  explicit UsageCounter(base::Duration windowLength) : m_windowLength(windowLength) {}

  /// A request of `tenant` began to run; an empty name is nobody's.
  void onRequestStarted(const std::string& tenant, base::WallTime at);
  /// Windows up to this one are decided: what they hold is of no use any more.
  void discardThrough(WindowNumber window);
  [[nodiscard]] GatewayUsage present(base::WallTime now) const;
  /// Rises with each request counted.
  [[nodiscard]] std::uint64_t revision() const { return m_revision; }

 private:
  const base::Duration m_windowLength;
  std::map<WindowNumber, WindowUsage> m_windows;
  std::uint64_t m_revision = 0;
};

}  // namespace tackpick::duties
