/// \file
/// Usage in the replicated state of the controllers.
#pragma once

#include <map>
#include <optional>

#include "duties/usage_messages.h"

namespace tackpick::duties {

/// Usage of all windows that are not reported yet. Windows are finalized once and in order, and
/// kept until the platform has accepted their report. Deterministic.
class UsageState {
 public:
  using UsageByGateway = std::map<base::NodeId, WindowUsage>;

  void apply(const StartUsageReporting& command);
  void apply(const RecordUsage& command);
  void apply(const FinalizeUsage& command);
  void apply(const ConfirmUsage& command);

  /// Returns the next window to be finalized, std::nullopt before usage reporting has started.
  [[nodiscard]] std::optional<WindowNumber> nextWindow() const { return m_nextWindow; }
  /// Returns the recorded counts of windows that are not finalized.
  [[nodiscard]] const std::map<WindowNumber, UsageByGateway>& recorded() const {
    return m_recorded;
  }
  /// Returns the finalized windows whose report the platform has not accepted, by number.
  [[nodiscard]] const std::map<WindowNumber, WindowUsage>& unreported() const {
    return m_unreported;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_nextWindow, m_recorded, m_unreported);
  }

 private:
  std::optional<WindowNumber> m_nextWindow;
  std::map<WindowNumber, UsageByGateway> m_recorded;
  std::map<WindowNumber, WindowUsage> m_unreported;
};

/// Sets each tenant's count in `into` to the higher of both counts.
void mergeUsage(WindowUsage& into, const WindowUsage& from);

}  // namespace tackpick::duties
