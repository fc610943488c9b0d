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
#include "directory/engines_wanted.h"

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
  /// With less recent work than this (events of streams) demand is taken as unknown: engines keep
  /// the homes that they have.
  double leastDemand = 300;
  /// An engine changes its home at most this often.
  base::Duration moveInterval = base::seconds(3);
  /// Engines silent for longer get no orders.
  base::Duration silenceLimit = base::seconds(4);
  EnginesWantedSettings wanted;
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

/// What the leader has heard of an engine.
struct ReportedEngine {
  base::TimePoint heardAt{};
  std::map<std::string, std::uint64_t> versions;
};

/// The leading controller's. Deterministic; owned by one thread. When engines hold several trained
/// models, each engine follows one of them ("home"), so that a version costs as few loads as it
/// can; the others keep the versions they have. Models get engines in proportion to demand. Where
/// there are more engines than all models want, each model gets what it wants, spread over zones,
/// and the rest stay in reserve: without orders, and without work while others have room.
class VersionOrders {
 public:
  explicit VersionOrders(VersionOrderSettings settings)
      : settings_(settings), m_wanted(settings.wanted) {}

  /// The model that each engine follows.
  using Homes = std::map<std::string, std::string>;

  /// Call when this controller becomes leader. It gives no order before `ordersFrom`; engines keep
  /// the `homes` that the former leader gave them.
  void reset(base::TimePoint ordersFrom, Homes homes = {});
  [[nodiscard]] const Homes& homes() const { return homes_; }
  /// Orders to give now.
  [[nodiscard]] std::vector<VersionOrder> step(const DirectoryState& state,
                                               const std::map<std::string, ReportedEngine>& engines,
                                               const std::map<std::string, double>& demand,
                                               std::uint64_t term, base::TimePoint now);
  void noteOpenItems(const OpenItems& items, base::TimePoint now) { m_wanted.note(items, now); }
  /// True when no model needs the engine now.
  [[nodiscard]] bool isInReserve(const InstanceRecord& engine) const {
    return m_reserving.contains(engine.service) && !homes_.contains(engine.id);
  }
  /// Engines to be asked for their versions now.
  [[nodiscard]] std::vector<std::string> dueReports(
      const std::map<std::string, ReportedEngine>& engines, base::TimePoint now);
  /// True while an engine is expected to load.
  [[nodiscard]] bool isLoading(const std::string& instance,
                               const std::map<std::string, ReportedEngine>& engines,
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
  [[nodiscard]] std::map<std::string, ModelLoad> loadByModel(
      const std::map<std::string, ReportedEngine>& engines, base::TimePoint now) const;
  [[nodiscard]] bool isDue(const std::string& model, std::uint64_t held, std::uint64_t published,
                           base::TimePoint now) const;
  void assignHomes(const DirectoryState& state,
                   const std::map<std::string, ReportedEngine>& engines,
                   const std::map<std::string, double>& demand, base::TimePoint now);
  void assignHomesOf(const Service& service, const DirectoryState& state,
                     const std::map<std::string, ReportedEngine>& engines,
                     const std::map<std::string, double>& demand, base::TimePoint now);
  /// What each model of the service is asked of the engines, in shares of the whole: work done, and
  /// never less than half of what its open items would be.
  [[nodiscard]] std::map<std::string, double> askedOf(
      const Service& service, const std::map<std::string, double>& demand) const;
  /// Models with open items and less than half of the engines due to them get these at once.
  void feedStarved(const std::map<std::string, ReportedEngine>& engines,
                   const std::map<std::string, std::size_t>& shares,
                   std::map<std::string, std::size_t>& counts);
  /// `missing` engines of models with more than their share follow `model` from now on, those first
  /// that hold its newest weights.
  void moveHomes(const std::string& model, std::size_t missing,
                 const std::map<std::string, ReportedEngine>& engines,
                 const std::map<std::string, std::size_t>& shares,
                 std::map<std::string, std::size_t>& counts);
  /// By model, of engines with `slots` places each.
  [[nodiscard]] std::map<std::string, std::size_t> enginesWanted(const Service& service,
                                                                 std::uint32_t slots) const;
  /// Gives each model what it wants of more engines than all want.
  void assignFromReserve(const Service& service, const std::map<std::string, std::size_t>& wanted,
                         const DirectoryState& state,
                         const std::map<std::string, ReportedEngine>& engines, base::TimePoint now);
  /// Homes for `missing` more engines, those first that hold the newest weights of `model`, evenly
  /// over the zones.
  void takeFromReserve(const Service& service, const std::string& model, std::size_t missing,
                       const DirectoryState& state,
                       const std::map<std::string, ReportedEngine>& engines, base::TimePoint now);
  /// One engine that follows `model` goes back, now and then.
  void giveToReserve(const std::string& model, base::TimePoint now);
  [[nodiscard]] bool isHeard(const std::string& instance,
                             const std::map<std::string, ReportedEngine>& engines,
                             base::TimePoint now) const;
  void moveOneHome(const Service& service, const DirectoryState& state,
                   const std::map<std::string, std::size_t>& counts,
                   const std::map<std::string, std::size_t>& shares, base::TimePoint now);
  /// All engines with a home, those first whose model's version was published first; of one model,
  /// those first that hold the oldest: new work may need more than they hold.
  [[nodiscard]] std::vector<const InstanceRecord*> oldestVersionFirst(
      const DirectoryState& state, const std::map<std::string, ReportedEngine>& engines) const;
  [[nodiscard]] bool mayOrder(const InstanceRecord& record,
                              const std::map<std::string, ReportedEngine>& engines,
                              base::TimePoint now) const;

  const VersionOrderSettings settings_;
  base::TimePoint orders_from_{};
  EnginesWanted m_wanted;
  std::set<std::string> m_reserving;  ///< services with more engines than their models want
  std::size_t m_engineCount = 0;      ///< of all services with models
  Homes homes_;
  base::TimePoint moved_at_{};          ///< when an engine last changed its home
  std::map<std::string, Given> given_;  ///< latest order by instance
  struct Published {
    std::uint64_t version = 0;
    base::TimePoint seenAt{};
  };
  std::map<std::string, Published> published_;  ///< newest version by model, and since when
};

}  // namespace tackpick::directory
