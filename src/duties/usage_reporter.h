/// \file
/// Reports usage to the platform. Runs on the leader of the controllers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "base/random.h"
#include "duties/usage_state.h"

namespace tackpick::duties {

/// Settings of a UsageReporter.
struct UsageReporterSettings {
  base::Duration windowLength{0};  ///< zero disables reporting
  /// Time after the end of a window by which its report is due.
  base::Duration reportDelay = base::seconds(10);
  /// Time to wait after the end of a window for the reports of requests started just before it.
  base::Duration gracePeriod = base::milliseconds(500);
  /// Maximum time to wait for an unreachable gateway, in percent of reportDelay. The remaining time
  /// allows for repeated calls.
  int maxWaitPercent = 65;
  /// Minimum interval between log entries with the counts of gateways. Bounds the usage that is
  /// lost if all machines fail simultaneously.
  base::Duration recordInterval = base::milliseconds(100);
  /// Minimum interval between log entries with counts, per count that is not finalized. Applies if
  /// the resulting interval exceeds recordInterval, and limits the rate of writes.
  base::Duration recordIntervalPerCount = base::microseconds(100);
  /// Minimum time between two calls; the platform limits the rate of all calls.
  base::Duration minCallInterval = base::milliseconds(100);
  /// Time after which a failed call is repeated. Doubles with each failure up to maxRetryDelay.
  base::Duration initialRetryDelay = base::milliseconds(300);
  base::Duration maxRetryDelay = base::milliseconds(2400);
};

/// Outcome of a report to the platform.
enum class UsageReportOutcome : std::uint8_t {
  kAccepted,
  kStaleFence,  ///< the platform has received a higher fence from a newer leader
  kThrottled,   ///< rejected by the rate limit of the platform
  kUnknown,     ///< no conclusive answer
};

[[nodiscard]] std::string_view toString(UsageReportOutcome outcome);

/// Actions that the leader has to carry out after a step.
struct UsageReporterActions {
  /// Commands to be written to the log.
  std::vector<std::variant<StartUsageReporting, RecordUsage, FinalizeUsage, ConfirmUsage>> commands;
  std::optional<UsageReport> report;  ///< report to be sent to the platform
};

/// Collects the counts of gateways and reports each window to the platform. A window is finalized
/// in the log before its report is first sent, so that every leader sends the same counts. At most
/// one call is in flight, and a fence that the platform rejected is not used again. Deterministic;
/// owned by one thread.
class UsageReporter {
 public:
  UsageReporter(UsageReporterSettings settings, base::Random& random)
      : m_settings(settings), m_random(random) {}

  /// Must be called when this controller becomes leader. No call is made before `callsFrom`.
  void reset(const UsageState& state, base::TimePoint callsFrom);
  /// Merges the counts that a gateway reported.
  void onGatewayUsage(base::NodeId gateway, const GatewayUsage& usage);
  /// Inputs of one step.
  struct StepInputs {
    std::set<base::NodeId> gateways;  ///< gateways in contact with this leader
    /// Whether the leader has led long enough to have received a heartbeat from every gateway.
    bool warmedUp = false;
    std::uint64_t fence = 0;
    base::WallTime wall;  ///< cluster time
    base::TimePoint now;
  };
  /// Finalizes the next window if it is due and returns the resulting actions.
  [[nodiscard]] UsageReporterActions step(const UsageState& state, const StepInputs& stepInputs);
  /// Records the outcome of a report that step() returned.
  void onOutcome(const UsageReport& report, UsageReportOutcome outcome, base::TimePoint now);

 private:
  /// Returns the command that finalizes the next window, std::nullopt if it is not due.
  [[nodiscard]] std::optional<FinalizeUsage> finalizeWindow(const UsageState& state,
                                                            const StepInputs& stepInputs) const;
  /// Whether all gateways have reported a later window.
  [[nodiscard]] bool isComplete(WindowNumber window, const StepInputs& stepInputs) const;
  /// Adds commands that record new counts of gateways in the log.
  void recordUsage(const UsageState& state, const StepInputs& stepInputs,
                   UsageReporterActions& actions);
  [[nodiscard]] std::optional<UsageReport> nextReport(const UsageState& state,
                                                      const StepInputs& stepInputs);

  const UsageReporterSettings m_settings;
  base::Random& m_random;
  std::map<WindowNumber, UsageState::UsageByGateway>
      m_usageByWindow;                                    ///< windows that are not finalized
  std::map<base::NodeId, WindowNumber> m_currentWindows;  ///< by gateway, as of its last report
  std::set<base::NodeId> m_unrecorded;  ///< gateways with counts not yet in the log
  base::TimePoint m_recordedAt{};
  std::optional<WindowNumber> m_proposedWindow;  ///< window whose FinalizeUsage is not applied yet
  /// Windows accepted by the platform, possibly not yet confirmed in the log.
  std::set<WindowNumber> m_acceptedWindows;
  std::optional<WindowNumber> m_pendingConfirmation;  ///< window to be confirmed in the log
  bool m_callInFlight = false;
  std::uint64_t m_staleFence = 0;  ///< fence that the platform rejected; zero: none
  base::TimePoint m_nextCallAt{};  ///< earliest time of the next call
  base::Duration m_retryDelay{0};
};

}  // namespace tackpick::duties
