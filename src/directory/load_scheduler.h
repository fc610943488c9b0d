/// \file
/// Schedules loads of the newest published weights on registered engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "directory/directory_messages.h"
#include "directory/directory_state.h"
#include "directory/engine_assigner.h"
#include "directory/load_limiter.h"
#include "directory/load_policy.h"
#include "directory/step_forecast.h"
#include "directory/weights_summary.h"
#include "jobs/open_jobs.h"

namespace tackpick::directory {

/// Order in which engines load.
enum class LoadOrder : std::uint8_t {
  kOldestFirst,  ///< in order of publication
  kByDemand,     ///< by open and expected steps if a service has several models
};

/// Settings of LoadScheduler.
struct LoadSchedulerSettings {
  /// Minimum number of concurrent loads. A weights store slows down with many concurrent loads.
  std::size_t concurrentLoads = 2;
  /// Concurrent loads as a percentage of all engines with models, so that the rounds per version do
  /// not grow with the cluster.
  int concurrentLoadsPercent = 20;
  LoadOrder loadOrder = LoadOrder::kByDemand;
  /// Maximum percentage of the engines of one model that load at once, so that the others accept
  /// new work. Engines that no open step can use are not counted.
  int maxLoadingPercent = 50;
  /// Delay before engines with the previous version load a new one: work may still start on the
  /// previous version, and an engine accepts none while it loads.
  base::Duration gracePeriod = base::milliseconds(500);
  /// Time after which a load command without a report of the version counts as failed.
  base::Duration loadTimeout = base::seconds(4);
  /// Delay after a load command before the engine is polled for its versions, and interval between
  /// polls. The next load can start as soon as a poll reports completion.
  base::Duration firstPollDelay = base::milliseconds(850);
  base::Duration pollInterval = base::milliseconds(150);
  /// Time for which a command with unknown outcome counts as a load.
  base::Duration unknownOutcomeTimeout = base::milliseconds(1500);
  /// Time without a heartbeat after which an engine gets no load commands.
  base::Duration heartbeatTimeout = base::seconds(4);
  /// Expected load time before any load has been measured.
  base::Duration defaultLoadTime = base::seconds(1);
  EngineAssignerSettings assignments;
  StepForecastSettings forecast;
  LoadLimiterSettings limiter;
};

/// A command to load a version of weights on one engine.
struct LoadCommand {
  std::string instance;
  std::string host;
  std::uint16_t port = 0;
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t fence = 0;  ///< term of the leader that sends it
  bool drainFirst = false;  ///< if false, running requests continue with the new weights
};

/// Response of an engine to a load command.
enum class LoadCommandOutcome : std::uint8_t {
  kAccepted,       ///< loading has started
  kAlreadyLoaded,  ///< the engine holds the version
  kBusy,           ///< another load is in progress
  kRefused,        ///< the engine has seen a higher fence or is another instance
  kUnknown,        ///< no response; the command may still take effect
};

[[nodiscard]] std::string_view toString(LoadCommandOutcome outcome);

/// Decides on the leading controller which engine loads which version. Each engine gets only
/// versions of its assigned model (EngineAssigner), which minimizes the loads per version.
/// Deterministic; owned by one thread.
class LoadScheduler {
 public:
  explicit LoadScheduler(LoadSchedulerSettings settings);

  /// Call when this controller becomes leader. No commands are issued before `earliestCommandTime`.
  /// Engines keep the `assignments` of the former leader.
  void reset(base::TimePoint earliestCommandTime, EngineAssignments assignments = {});
  [[nodiscard]] const EngineAssignments& assignments() const { return m_assigner.assignments(); }
  /// Returns the load commands to send now.
  [[nodiscard]] std::vector<LoadCommand> step(const DirectoryState& state,
                                              const ReportedEngines& engines,
                                              const std::map<std::string, double>& demand,
                                              std::uint64_t term, base::TimePoint now);
  /// Sets the open jobs reported by the ledgers' leader.
  void setOpenJobs(const jobs::OpenJobsByModel& openJobs, base::TimePoint now);
  /// Whether the engine is on standby.
  [[nodiscard]] bool isStandby(const InstanceRecord& engine) const {
    return m_assigner.isStandby(engine);
  }
  /// Returns the engines to poll for their versions now.
  [[nodiscard]] std::vector<std::string> duePolls(const ReportedEngines& engines,
                                                  base::TimePoint now);
  /// Whether the engine is expected to be loading.
  [[nodiscard]] bool isLoading(const std::string& instance, const ReportedEngines& engines,
                               base::TimePoint now) const;
  void onOutcome(const LoadCommand& command, LoadCommandOutcome outcome, base::TimePoint now);
  [[nodiscard]] const WeightsSummary& summary() const { return m_summary; }

 private:
  struct IssuedCommand {
    std::string model;
    std::uint64_t version = 0;
    base::TimePoint retryAt{};
    base::TimePoint loadingUntil{};  ///< latest time at which the load ends
    base::TimePoint nextPollAt{};    ///< time of the next poll
    bool isDone = false;             ///< the engine has reported the version
  };

  /// Number of engines assigned to one model.
  struct EngineCounts {
    std::size_t total = 0;
    std::size_t loading = 0;
  };

  /// Reported open jobs, kept until versions published before the report are applied.
  struct PendingOpenJobs {
    jobs::OpenJobsByModel openJobs;
    base::TimePoint at{};
  };

  /// State of all engines in one step; candidates are sorted by id.
  struct FleetState {
    ModelLoadStates models;
    std::map<std::string, EngineCounts> engines;
    std::vector<LoadCandidate> candidates;
    std::size_t loading = 0;
    bool hasKnownSteps = false;  ///< steps of at least one model are known
  };

  [[nodiscard]] std::size_t configuredMaxLoads() const;
  void trackPublished(const DirectoryState& state, base::TimePoint now);
  void applyOpenJobs(const DirectoryState& state);
  /// Marks loads that are complete and updates the limiter.
  void markLoaded(const ReportedEngines& engines, base::TimePoint now);
  /// Removes commands to engines that are no longer registered.
  void removeUnregistered(const DirectoryState& state);
  [[nodiscard]] FleetState observe(const DirectoryState& state, const ReportedEngines& engines,
                                   base::TimePoint now) const;
  [[nodiscard]] ModelLoadStates modelStates(const DirectoryState& state, base::TimePoint now) const;
  /// Whether the engine is still expected to carry out the command.
  [[nodiscard]] static bool isInProgress(const IssuedCommand& issued, const ReportedEngine& engine,
                                         base::TimePoint now);
  [[nodiscard]] LoadCommand makeCommand(const DirectoryState& state, const LoadCandidate& candidate,
                                        std::uint64_t term, base::TimePoint now);
  void updateSummary(const FleetState& fleet, base::TimePoint now);

  const LoadSchedulerSettings settings_;
  base::TimePoint m_earliestCommandTime{};
  EngineAssigner m_assigner;
  StepForecast m_forecast;
  LoadLimiter m_loadLimiter;
  std::unique_ptr<const LoadPolicy> m_loadPolicy;
  std::optional<PendingOpenJobs> m_pendingOpenJobs;
  WeightsSummary m_summary;
  std::map<std::string, IssuedCommand> m_issued;  ///< latest command by instance
  struct PublishedVersion {
    std::uint64_t version = 0;
    base::TimePoint seenAt{};
  };
  std::map<std::string, PublishedVersion> m_published;  ///< newest version by model
};

}  // namespace tackpick::directory
