/// \file
/// The duty to report usage, as the controllers' leader does it.
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

/// Knobs of a UsageReporter.
struct UsageReporterSettings {
  base::Duration window{0};  ///< length; zero: there is no such duty
  /// A window's report is due so long after its end.
  base::Duration delay = base::seconds(10);
  /// Requests that began at the very end of a window are answered, and told, by then.
  base::Duration settling = base::milliseconds(500);
  /// A gateway that is cut off or frozen may still tell what it counted until this share of the
  /// delay is over; the rest is for calls that have to be repeated.
  int patiencePercent = 65;
  /// What gateways told is noted in the log this often, so that a loss of all machines costs at
  /// most this much of a window's counts.
  base::Duration noteInterval = base::milliseconds(100);
  /// ... and less often where much is told, to bound what is written.
  base::Duration noteIntervalPerCount = base::microseconds(100);
  /// Between two calls at least; the platform limits the rate of all of them.
  base::Duration minCallInterval = base::milliseconds(100);
  /// A call without an answer is repeated after this time, and then after twice as long each time.
  base::Duration firstRetry = base::milliseconds(300);
  base::Duration maxRetry = base::milliseconds(2400);
};

/// What the platform answered to a call.
enum class UsageReportOutcome : std::uint8_t {
  kAccepted,
  kRefused,  ///< a higher fence was seen: another holds the duty
  kBusy,     ///< too many calls
  kUnknown,  ///< no answer, or none that says more
};

[[nodiscard]] std::string_view toString(UsageReportOutcome outcome);

/// What the leader is to do now.
struct UsageReporterActions {
  /// To be written to the log.
  std::vector<std::variant<StartUsageReporting, RecordUsage, FinalizeUsage, ConfirmUsage>> commands;
  std::optional<UsageReport> report;  ///< to be sent
};

/// Deterministic; owned by one thread. Counts are decided in the log before they are first sent,
/// and sent unchanged ever after, whoever leads. One call is under way at a time. A fence that was
/// refused is not used again.
class UsageReporter {
 public:
  UsageReporter(UsageReporterSettings settings, base::Random& random)
      : m_settings(settings), m_random(random) {}

  /// Call when this controller becomes leader. It makes no call before `callsFrom`.
  void reset(const UsageState& state, base::TimePoint callsFrom);
  /// A gateway told what it has counted.
  void onTold(base::NodeId gateway, const GatewayUsage& usage);
  /// `gateways` heard of, and whether that are all there are.
  struct Present {
    std::set<base::NodeId> gateways;
    bool settled = false;
    std::uint64_t fence = 0;
    base::WallTime wall;  ///< true time
    base::TimePoint now;
  };
  [[nodiscard]] UsageReporterActions step(const UsageState& state, const Present& present);
  void onOutcome(const UsageReport& report, UsageReportOutcome outcome, base::TimePoint now);

 private:
  [[nodiscard]] std::optional<FinalizeUsage> decide(const UsageState& state,
                                                    const Present& present) const;
  [[nodiscard]] bool isComplete(WindowNumber window, const Present& present) const;
  void note(const UsageState& state, const Present& present, UsageReporterActions& work);
  [[nodiscard]] std::optional<UsageReport> nextReport(const UsageState& state,
                                                      const Present& present);

  const UsageReporterSettings m_settings;
  base::Random& m_random;
  std::map<WindowNumber, UsageState::ByGateway> m_told;  ///< of windows that are not decided
  std::map<base::NodeId, WindowNumber> m_presentAt;      ///< by gateway: the window it was in
  std::set<base::NodeId> m_unnoted;                      ///< gateways that told something new
  base::TimePoint m_notedAt{};
  std::optional<WindowNumber> m_proposed;  ///< window whose decision is on its way
  std::set<WindowNumber> m_taken;          ///< by the platform; the confirmation may be on its way
  std::optional<WindowNumber> m_confirm;   ///< to be written to the log
  bool m_calling = false;
  std::uint64_t m_refusedFence = 0;
  base::TimePoint m_callAt{};  ///< not before
  base::Duration m_retry{0};
};

}  // namespace tackpick::duties
