/// \file
/// The part of the controllers' replicated state that concerns usage.
#pragma once

#include <map>
#include <optional>

#include "duties/usage_messages.h"

namespace tackpick::duties {

/// Deterministic. A window is decided once, after the one before it, and keeps its counts until
/// the platform has taken them.
class UsageState {
 public:
  using ByGateway = std::map<base::NodeId, WindowUsage>;

  void apply(const StartUsageReporting& command);
  void apply(const RecordUsage& command);
  void apply(const FinalizeUsage& command);
  void apply(const ConfirmUsage& command);

  /// The next window to be decided; nothing before usage began.
  [[nodiscard]] std::optional<WindowNumber> next() const { return m_next; }
  /// What gateways told of windows that are not decided, as far as it was noted.
  [[nodiscard]] const std::map<WindowNumber, ByGateway>& noted() const { return m_noted; }
  /// Decided windows that the platform has not taken, by number.
  [[nodiscard]] const std::map<WindowNumber, WindowUsage>& unreported() const {
    return m_unreported;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_next, m_noted, m_unreported);
  }

 private:
  std::optional<WindowNumber> m_next;
  std::map<WindowNumber, ByGateway> m_noted;
  std::map<WindowNumber, WindowUsage> m_unreported;
};

/// Takes over the higher count of each tenant.
void mergeUsage(WindowUsage& into, const WindowUsage& from);

}  // namespace tackpick::duties
