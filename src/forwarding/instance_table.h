/// \file
/// What a gateway knows of the instances it may send to: the directory's view joined with what it
/// sees on its own connections.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "directory/directory_messages.h"
#include "jobs/event_interval_report.h"
#include "jobs/free_slots.h"

namespace tackpick::forwarding {

/// Knobs of InstanceTable.
struct InstanceTableSettings {
  std::string zone;          ///< this gateway's
  std::string gateway = {};  ///< its name: instances are favoured by it
  /// An instance that failed is avoided for this long, doubled with each further failure.
  base::Duration ejectionTime = base::milliseconds(400);
  base::Duration maxEjection = base::seconds(4);
  /// After a refusal for want of room it is avoided for this long.
  base::Duration fullTime = base::milliseconds(60);
  /// After a refusal although it has room: it changes its weights.
  base::Duration loadingTime = base::milliseconds(200);
  /// Of a service with more instances than `fewInstances` a gateway uses its `favourites` while
  /// they are at most half full: 800 gateways that draw among 375 servers open a connection for
  /// nearly every request, and to keep one open costs each server 800.
  std::size_t fewInstances = 24;
  std::size_t favourites = 3;
};

/// How one send to an instance ended.
enum class AttemptOutcome : std::uint8_t {
  kServed,     ///< it answered
  kFailed,     ///< it answered with a failure of its own, or broke off
  kUnreached,  ///< no connection
  kFull,       ///< it had no room and did not run the request
  kGone,       ///< another instance answers at its address
  kAbandoned,  ///< we broke off
};

[[nodiscard]] std::string_view toString(AttemptOutcome outcome);

/// What an instance says of its load in an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there now, in percent of what is usual: others use the machine too.
  std::uint32_t slowdownPercent = 100;
};

/// What a request needs of an instance.
struct InstanceRequirements {
  std::string service;
  std::string model;                 ///< empty: any
  std::uint64_t minimumVersion = 0;  ///< of that model's weights
  bool longRunning = false;          ///< expected to run long: speed counts more than balance
  bool alone = false;                ///< it may end the instance: the fewer run there the better
};

/// One instance as the gateway sees it.
struct InstanceEntry {
  directory::InstanceRecord record;
  std::map<std::string, std::uint64_t> versions;
  /// The controllers miss its heartbeats. It is used only when no other is left: it may be dead, or
  /// merely cut off from the controllers.
  bool unresponsive = false;
  std::uint32_t inFlight = 0;
  ReportedLoad load;
  base::TimePoint loadAt{};
  std::uint32_t sharedLoad = 0;  ///< requests of all gateways, as the ledgers count them
  base::TimePoint sharedLoadAt{};
  double eventIntervalMs =
      0;  ///< moving average of the time between two events of a stream; zero: none yet
  double recentEventIntervalMs = 0;   ///< the same over the last few runs, for the ledgers
  base::TimePoint eventIntervalAt{};  ///< when they were last measured
  double latencyMs = 0;               ///< moving average of served requests; zero: none yet
  std::uint32_t failures = 0;
  base::TimePoint avoidUntil{};
  std::uint64_t favour = 0;  ///< of those in its zone, this gateway favours the lowest
  bool gone = false;
  bool ended = false;    ///< it has started again: what ran there is over
  bool loading = false;  ///< it changes weights and refuses new requests
  bool standby = false;  ///< items go elsewhere while there is room

  [[nodiscard]] std::uint64_t version(const std::string& model) const;
};

/// The models that the engines of each service run.
using ServiceModels = std::map<std::string, std::set<std::string>>;

/// Deterministic; owned by one thread.
class InstanceTable {
 public:
  explicit InstanceTable(InstanceTableSettings settings) : settings_(std::move(settings)) {}

  /// Takes in all instances there are.
  void update(const std::vector<directory::InstanceView>& view);
  /// Takes in what changed.
  void change(const std::vector<directory::InstanceView>& changed,
              const std::vector<std::string>& removed);
  /// The instance to send to, or nothing when none may be used. Instances in `tried` come last and
  /// only when `repeat` holds. Of two drawn at random the less loaded one is taken.
  [[nodiscard]] const InstanceEntry* select(const InstanceRequirements& need,
                                            const std::set<std::string>& tried,
                                            base::Random& random, base::TimePoint now) const;
  void onSent(const std::string& id);
  void onEnded(const std::string& id, AttemptOutcome outcome, base::Duration took,
               base::TimePoint now);
  /// Events of a stream came so far apart on average. Passed over while the engine changes its
  /// weights, which slows it for a moment.
  void onEventInterval(const std::string& id, base::Duration perEvent, base::TimePoint now);
  /// An instance where a stream would go on faster: at least `gain` times as fast as at `current`,
  /// with room. Of two drawn at random the cheaper one, so that gateways do not all choose the
  /// same. Nothing when there is none.
  /// Nothing while `current` only changes its weights.
  [[nodiscard]] const InstanceEntry* findFaster(const InstanceRequirements& need,
                                                const std::string& current, double gain,
                                                base::Random& random, base::TimePoint now) const;
  /// The same where a stream is at most `maxEventIntervalMs` milliseconds from event to event.
  [[nodiscard]] const InstanceEntry* findWithinInterval(const InstanceRequirements& need,
                                                        const std::string& current,
                                                        double maxEventIntervalMs,
                                                        base::Random& random,
                                                        base::TimePoint now) const;
  /// An instance with room that has not been tried and refuses nothing now; nothing when there is
  /// none.
  [[nodiscard]] const InstanceEntry* findIdle(const InstanceRequirements& need,
                                              const std::set<std::string>& tried,
                                              base::Random& random, base::TimePoint now) const;
  /// True when what runs at that instance is over, since it has started again.
  [[nodiscard]] bool hasRestarted(const std::string& id) const;
  /// True when the instance may be sent to now.
  [[nodiscard]] bool isUsable(const std::string& id, const InstanceRequirements& need,
                              base::TimePoint now) const;
  void onLoad(const std::string& id, const ReportedLoad& load, base::TimePoint now);
  /// The ledgers told how many items of all gateways run at an engine.
  void onSharedLoad(const std::string& id, std::uint32_t items, base::TimePoint now);
  /// An answer named the version that makes it.
  void onVersion(const std::string& id, const std::string& model, std::uint64_t version);

  [[nodiscard]] const InstanceEntry* find(const std::string& id) const;
  /// Paces of engines, by their names, where they are known.
  [[nodiscard]] std::map<std::string, jobs::EventIntervalReport> eventIntervals(
      base::TimePoint now) const;
  /// Instances of a service that do not leave.
  [[nodiscard]] std::size_t count(const std::string& service) const;
  /// Slots at engines, by model and the version of it that they hold.
  [[nodiscard]] jobs::FreeSlots freeSlots(const ServiceModels& models) const;
  /// Share of the slots of a service that are taken, as last reported; requests of this gateway
  /// count at least.
  [[nodiscard]] double occupancy(const std::string& service) const;
  [[nodiscard]] const std::map<std::string, InstanceEntry>& entries() const { return entries_; }

 private:
  [[nodiscard]] static bool serves(const InstanceEntry& entry, const InstanceRequirements& need);
  /// Requests at an instance, as far as this gateway knows.
  [[nodiscard]] static double busyness(const InstanceEntry& entry, base::TimePoint now);
  /// How long work takes there now; 1: as usual, or not known.
  [[nodiscard]] static double slowdown(const InstanceEntry& entry, base::TimePoint now);
  [[nodiscard]] static bool isSound(const InstanceEntry& entry, const InstanceRequirements& need,
                                    base::TimePoint now);
  [[nodiscard]] static bool hasFreeSlot(const InstanceEntry& entry, base::TimePoint now);
  /// Of two drawn at random the cheaper one.
  [[nodiscard]] const InstanceEntry* drawCheaper(
      const std::vector<const InstanceEntry*>& candidates, int draws,
      const InstanceRequirements& need, base::Random& random, base::TimePoint now) const;
  [[nodiscard]] double cost(const InstanceEntry& entry, const InstanceRequirements& need,
                            base::TimePoint now) const;

  /// Slots by version of one model.
  using SlotsByVersion = std::map<std::uint64_t, std::uint32_t>;

  /// The cheapest of this gateway's favourites; nothing when they are busy, or there are so few
  /// candidates that any may be drawn.
  [[nodiscard]] const InstanceEntry* selectFavourite(std::vector<const InstanceEntry*> candidates,
                                                     const InstanceRequirements& need,
                                                     base::TimePoint now) const;
  [[nodiscard]] static const InstanceEntry* leastBusy(
      const std::vector<const InstanceEntry*>& candidates, base::TimePoint now);
  void upsert(const directory::InstanceView& instance);
  /// The instance's earlier incarnations have ended. It runs on their machine, so that it takes
  /// over their pace.
  void endEarlier(const std::string& id, InstanceEntry& successor);
  void endEntry(InstanceEntry& earlier, InstanceEntry& successor);
  /// Answers under way may still arrive for what is gone; it only gets nothing new.
  void remove(const std::string& id);
  /// Forgets those that are gone and that no answer is expected of any more.
  void forgetDeparted();
  /// Those of one service.
  [[nodiscard]] const std::map<std::string, InstanceEntry*>& instancesOf(
      const std::string& service) const;
  /// Counts the instance's slots in m_slots, or takes them out again before it changes.
  void addSlots(const InstanceEntry& entry);
  void removeSlots(const InstanceEntry& entry);

  const InstanceTableSettings settings_;
  std::map<std::string, InstanceEntry> entries_;
  std::map<std::string, std::map<std::string, InstanceEntry*>> m_byService;
  /// By service and model, of those that get new work. Kept since leases are asked for several
  /// times a second with what these say.
  std::map<std::string, std::map<std::string, SlotsByVersion>> m_slots;
  std::set<std::string> m_measured;  ///< ids of those whose pace is known
  std::set<std::string> m_departed;  ///< ids of those that the controllers took out
};

}  // namespace tackpick::forwarding
