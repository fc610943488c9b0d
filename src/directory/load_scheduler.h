/// \file
/// Brings the newest published weights onto the engines that report themselves.
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

/// In which order engines load.
enum class LoadOrder : std::uint8_t {
  kOldestFirst,  ///< as versions were published
  kByNeed,       ///< for open and expected steps, where a service has several models
};

/// Knobs of LoadScheduler.
struct LoadSchedulerSettings {
  /// Engines that may load at once, however few there are; a store of weights slows down when many
  /// do.
  std::size_t concurrentLoads = 2;
  /// ... and this share of all engines with models, so that a large fleet gets a version in as many
  /// rounds as a small one.
  int concurrentPercent = 20;
  LoadOrder loadOrder = LoadOrder::kByNeed;
  /// Of the engines that follow one model, at most this share loads at once, so that the others
  /// take new work. Those that no open step can use are not counted.
  int loadingPercent = 50;
  /// A new version is ordered this much later on engines that hold the one before: the work that
  /// comes with a new version may still run there, and an engine that loads takes none.
  base::Duration settlingTime = base::milliseconds(500);
  /// An order is taken as without effect when the engine has not reported the version by then.
  base::Duration orderTimeout = base::seconds(4);
  /// An engine that was given an order is asked for its versions from this time on, so that the
  /// next can be ordered as soon as it has loaded.
  base::Duration firstReport = base::milliseconds(850);
  base::Duration reportInterval = base::milliseconds(150);
  /// An order without an answer no longer counts as a load after this time.
  base::Duration uncertainLoad = base::milliseconds(1500);
  /// Engines unresponsive for longer get no orders.
  base::Duration heartbeatTimeout = base::seconds(4);
  /// How long a load takes, before any was seen.
  base::Duration usualLoad = base::seconds(1);
  EngineAssignerSettings assignments;
  StepForecastSettings forecast;
  LoadLimiterSettings budget;
};

/// An order to change the weights of a model on one engine.
struct LoadCommand {
  std::string instance;
  std::string host;
  std::uint16_t port = 0;
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t fence = 0;  ///< the term of the leader that gives it
  bool drainFirst = false;  ///< else running requests go on under the new weights
};

/// What an engine answered to an order.
enum class LoadCommandOutcome : std::uint8_t {
  kAccepted,       ///< under way
  kAlreadyLoaded,  ///< it has that version already
  kBusy,           ///< another is under way
  kRefused,        ///< a higher fence was seen, or another instance is there
  kUnknown,        ///< no answer: it may be taken, now or later
};

[[nodiscard]] std::string_view toString(LoadCommandOutcome outcome);

/// The leading controller's. Deterministic; owned by one thread. Each engine gets the versions of
/// the model that it follows (EngineAssigner), so that a version costs as few loads as it can.
class LoadScheduler {
 public:
  explicit LoadScheduler(LoadSchedulerSettings settings);

  /// Call when this controller becomes leader. It gives no order before `earliestCommandTime`;
  /// engines keep the `assignments` that the former leader gave them.
  void reset(base::TimePoint earliestCommandTime, EngineAssignments assignments = {});
  [[nodiscard]] const EngineAssignments& assignments() const { return m_homes.assignments(); }
  /// Orders to give now.
  [[nodiscard]] std::vector<LoadCommand> step(const DirectoryState& state,
                                              const ReportedEngines& engines,
                                              const std::map<std::string, double>& demand,
                                              std::uint64_t term, base::TimePoint now);
  /// What is open at the ledgers.
  void setOpenJobs(const jobs::OpenJobsByModel& works, base::TimePoint now);
  /// True when no model needs the engine now.
  [[nodiscard]] bool isStandby(const InstanceRecord& engine) const {
    return m_homes.isStandby(engine);
  }
  /// Engines to be asked for their versions now.
  [[nodiscard]] std::vector<std::string> dueReports(const ReportedEngines& engines,
                                                    base::TimePoint now);
  /// True while an engine is expected to load.
  [[nodiscard]] bool isLoading(const std::string& instance, const ReportedEngines& engines,
                               base::TimePoint now) const;
  void onOutcome(const LoadCommand& order, LoadCommandOutcome outcome, base::TimePoint now);
  [[nodiscard]] const WeightsSummary& summary() const { return m_summary; }

 private:
  struct IssuedCommand {
    std::string model;
    std::uint64_t version = 0;
    base::TimePoint retryAt{};
    base::TimePoint loadingUntil{};  ///< at the latest
    base::TimePoint reportAt{};      ///< when to ask for its versions next
    bool isDone = false;             ///< the version was reported
  };

  /// The engines that follow one model.
  struct ModelEngines {
    std::size_t all = 0;
    std::size_t loading = 0;
  };

  /// What open work that was told is planned with, once versions named before it are applied.
  struct ToldWork {
    jobs::OpenJobsByModel works;
    base::TimePoint at{};
  };

  /// Engines at a turn, those first that come first by id.
  struct Fleet {
    ModelLoadStates models;
    std::map<std::string, ModelEngines> engines;
    std::vector<LoadCandidate> candidates;
    std::size_t loading = 0;
    bool knowsSteps = false;  ///< of one model at least
  };

  [[nodiscard]] std::size_t configuredMaxLoads() const;
  void notePublished(const DirectoryState& state, base::TimePoint now);
  void noteTold(const DirectoryState& state);
  /// Loads that have ended since the last turn.
  void noteLoaded(const ReportedEngines& engines, base::TimePoint now);
  /// Orders to engines that are not registered any more.
  void forgetGone(const DirectoryState& state);
  [[nodiscard]] Fleet observe(const DirectoryState& state, const ReportedEngines& engines,
                              base::TimePoint now) const;
  [[nodiscard]] ModelLoadStates modelStates(const DirectoryState& state, base::TimePoint now) const;
  /// True while the engine is expected to carry out the order.
  [[nodiscard]] static bool isUnderWay(const IssuedCommand& given, const ReportedEngine& engine,
                                       base::TimePoint now);
  [[nodiscard]] LoadCommand makeCommand(const DirectoryState& state, const LoadCandidate& candidate,
                                        std::uint64_t term, base::TimePoint now);
  void updateSummary(const Fleet& fleet, base::TimePoint now);

  const LoadSchedulerSettings settings_;
  base::TimePoint m_earliestCommandTime{};
  EngineAssigner m_homes;
  StepForecast m_forecast;
  LoadLimiter m_budget;
  std::unique_ptr<const LoadPolicy> m_policy;
  std::optional<ToldWork> m_told;
  WeightsSummary m_summary;
  std::map<std::string, IssuedCommand> m_issued;  ///< latest order by instance
  struct Published {
    std::uint64_t version = 0;
    base::TimePoint seenAt{};
  };
  std::map<std::string, Published> published_;  ///< newest version by model, and since when
};

}  // namespace tackpick::directory
