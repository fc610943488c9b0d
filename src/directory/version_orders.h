/// \file
/// Brings the newest published weights onto the engines that report themselves.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "directory/directory_messages.h"
#include "directory/directory_state.h"
#include "directory/engine_homes.h"
#include "jobs/open_work.h"

namespace tackpick::directory {

/// Knobs of VersionOrders.
struct VersionOrderSettings {
  /// Engines that may load at once, however few there are; a store of weights slows down when many
  /// do.
  std::size_t concurrentLoads = 2;
  /// ... and this share of all engines with models, so that a large fleet gets a version in as many
  /// rounds as a small one.
  int concurrentPercent = 20;
  /// Of the engines that follow one model, at most this share loads at once, so that the others
  /// take new work.
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
  /// Engines silent for longer get no orders.
  base::Duration silenceLimit = base::seconds(4);
  EngineHomesSettings homes;
};

/// An order to change the weights of a model on one engine.
struct VersionOrder {
  std::string instance;
  std::string host;
  std::uint16_t port = 0;
  std::string model;
  std::uint64_t version = 0;
  std::uint64_t fence = 0;       ///< the term of the leader that gives it
  bool finishRunsFirst = false;  ///< else running requests go on under the new weights
};

/// What an engine answered to an order.
enum class OrderOutcome : std::uint8_t {
  kTaken,      ///< under way
  kHolds,      ///< it has that version already
  kBusy,       ///< another is under way
  kRefused,    ///< a higher fence was seen, or another instance is there
  kUncertain,  ///< no answer: it may be taken, now or later
};

[[nodiscard]] std::string_view toString(OrderOutcome outcome);

/// The leading controller's. Deterministic; owned by one thread. Each engine gets the versions of
/// the model that it follows (EngineHomes), so that a version costs as few loads as it can.
class VersionOrders {
 public:
  explicit VersionOrders(VersionOrderSettings settings)
      : settings_(settings), m_homes(settings.homes, settings.silenceLimit) {}

  /// Call when this controller becomes leader. It gives no order before `ordersFrom`; engines keep
  /// the `homes` that the former leader gave them.
  void reset(base::TimePoint ordersFrom, Homes homes = {});
  [[nodiscard]] const Homes& homes() const { return m_homes.homes(); }
  /// Orders to give now.
  [[nodiscard]] std::vector<VersionOrder> step(const DirectoryState& state,
                                               const ReportedEngines& engines,
                                               const std::map<std::string, double>& demand,
                                               std::uint64_t term, base::TimePoint now);
  /// What is open at the ledgers.
  void noteOpenWork(const jobs::OpenWorks& works, base::TimePoint now);
  /// True when no model needs the engine now.
  [[nodiscard]] bool isInReserve(const InstanceRecord& engine) const {
    return m_homes.isInReserve(engine);
  }
  /// Engines to be asked for their versions now.
  [[nodiscard]] std::vector<std::string> dueReports(const ReportedEngines& engines,
                                                    base::TimePoint now);
  /// True while an engine is expected to load.
  [[nodiscard]] bool isLoading(const std::string& instance, const ReportedEngines& engines,
                               base::TimePoint now) const;
  void onOutcome(const VersionOrder& order, OrderOutcome outcome, base::TimePoint now);

 private:
  struct Given {
    std::string model;
    std::uint64_t version = 0;
    base::TimePoint retryAt{};
    base::TimePoint loadingUntil{};  ///< at the latest
    base::TimePoint reportAt{};      ///< when to ask for its versions next
  };

  /// The engines that follow one model.
  struct ModelLoad {
    std::size_t engines = 0;
    std::size_t loading = 0;
  };

  [[nodiscard]] std::size_t mostLoads() const;
  void notePublished(const DirectoryState& state, base::TimePoint now);
  [[nodiscard]] std::map<std::string, ModelLoad> loadByModel(const ReportedEngines& engines,
                                                             base::TimePoint now) const;
  [[nodiscard]] bool isDue(const std::string& model, std::uint64_t held, std::uint64_t published,
                           base::TimePoint now) const;
  /// All engines with a home, those first whose model's version was published first; of one model,
  /// those first that hold the oldest: new work may need more than they hold.
  [[nodiscard]] std::vector<const InstanceRecord*> oldestVersionFirst(
      const DirectoryState& state, const ReportedEngines& engines) const;
  [[nodiscard]] bool mayOrder(const InstanceRecord& record, const ReportedEngines& engines,
                              base::TimePoint now) const;

  const VersionOrderSettings settings_;
  base::TimePoint orders_from_{};
  EngineHomes m_homes;
  std::map<std::string, Given> given_;  ///< latest order by instance
  struct Published {
    std::uint64_t version = 0;
    base::TimePoint seenAt{};
  };
  std::map<std::string, Published> published_;  ///< newest version by model, and since when
};

}  // namespace tackpick::directory
