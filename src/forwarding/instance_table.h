/// \file
/// The instances that a gateway may send to: the directory's view joined with the gateway's own
/// observations.
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

/// Settings of InstanceTable.
struct InstanceTableSettings {
  std::string zone;          ///< zone of this gateway
  std::string gateway = {};  ///< name of this gateway; determines its subset of instances
  /// Time for which an instance is ejected after a failure; doubled with each further failure.
  base::Duration ejectionTime = base::milliseconds(400);
  base::Duration maxEjection = base::seconds(4);
  /// Time for which an instance is ejected after it rejected a request because it was full.
  base::Duration rejectionBackoff = base::milliseconds(60);
  /// Time for which an instance is ejected after it rejected a request although it had free slots,
  /// because it was loading weights.
  base::Duration loadingBackoff = base::milliseconds(200);
  /// For a service with more than `subsetThreshold` instances, a gateway prefers a subset of
  /// `subsetSize` instances while they are at most half full. This bounds the number of
  /// connections: 800 gateways that choose among 375 servers open one for nearly every request, and
  /// keeping them open costs each server 800 connections.
  std::size_t subsetThreshold = 24;
  std::size_t subsetSize = 3;
};

/// Outcome of one attempt at an instance.
enum class AttemptOutcome : std::uint8_t {
  kSucceeded,      ///< the instance responded
  kFailed,         ///< server error or incomplete response
  kConnectFailed,  ///< the connection could not be established
  kRejected,       ///< the instance had no free slot and did not run the request
  kWrongInstance,  ///< another instance responds at this address
  kCancelled,      ///< cancelled by the gateway
};

[[nodiscard]] std::string_view toString(AttemptOutcome outcome);

/// Load that an instance reports in a response.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current duration of work in percent of normal. More than 100 if other processes use the
  /// machine.
  std::uint32_t slowdownPercent = 100;
};

/// Requirements of a request on an instance.
struct InstanceRequirements {
  std::string service;
  std::string model;                 ///< empty: any
  std::uint64_t minimumVersion = 0;  ///< minimum version of the model's weights
  bool longRunning = false;          ///< expected to run long: speed matters more than balance
  bool preferIdle = false;  ///< prefer the least loaded instance, since the request may crash it
};

/// An instance as seen by the gateway.
struct InstanceEntry {
  directory::InstanceRecord record;
  std::map<std::string, std::uint64_t> versions;
  /// Heartbeats are overdue at the controllers. The instance is used only if no other is available,
  /// because it may have failed. It may also have lost only its connection to the controllers.
  bool unresponsive = false;
  std::uint32_t inFlight = 0;
  ReportedLoad load;
  base::TimePoint loadAt{};
  std::uint32_t clusterLoad = 0;  ///< items of all gateways, as reported by the ledgers
  base::TimePoint clusterLoadAt{};
  double eventIntervalMs = 0;         ///< moving average of the event interval; zero: no value yet
  double recentEventIntervalMs = 0;   ///< moving average over the last few runs, for the ledgers
  base::TimePoint eventIntervalAt{};  ///< time of the last sample of both averages
  double latencyMs = 0;  ///< moving average over successful requests; zero: no value yet
  std::uint32_t failures = 0;
  base::TimePoint ejectedUntil{};
  /// Rendezvous hash. The instances of the gateway's zone with the lowest hashes form its subset.
  std::uint64_t subsetHash = 0;
  bool isRemoved = false;  ///< removed by the controllers or replaced at its address
  bool restarted = false;  ///< a newer incarnation has registered; runs of this one are lost
  bool loading = false;    ///< loading weights; rejects new requests
  bool standby = false;    ///< used only when the other engines are full

  [[nodiscard]] std::uint64_t version(const std::string& model) const;
};

/// Models that the engines of each service run, by service.
using ServiceModels = std::map<std::string, std::set<std::string>>;

/// Selects instances for requests and records the outcomes. Deterministic; owned by one thread.
class InstanceTable {
 public:
  explicit InstanceTable(InstanceTableSettings settings) : m_settings(std::move(settings)) {}

  /// Applies a full view: instances not in `view` are removed.
  void replaceAll(const std::vector<directory::InstanceView>& view);
  /// Applies an incremental view.
  void applyChanges(const std::vector<directory::InstanceView>& changed,
                    const std::vector<std::string>& removed);
  /// Selects an instance for a request; null if there is none. Prefers healthy instances to
  /// standby, unresponsive, ejected and tried ones, and the cheapest of a few random candidates.
  /// With `preferIdle`, returns the least loaded healthy instance.
  [[nodiscard]] const InstanceEntry* select(const InstanceRequirements& requirements,
                                            const std::set<std::string>& triedInstances,
                                            base::Random& random, base::TimePoint now) const;
  void onSent(const std::string& id);
  void onEnded(const std::string& id, AttemptOutcome outcome, base::Duration took,
               base::TimePoint now);
  /// Records the average event interval of a stream. Ignored while the engine loads weights, which
  /// slows it temporarily.
  void onEventInterval(const std::string& id, base::Duration interval, base::TimePoint now);
  /// Returns an instance with a free slot at which a stream would run at least `minSpeedup` times
  /// as fast as at `current`; null if there is none or `current` is loading weights. Chooses among
  /// random candidates so that gateways do not all select the same one.
  [[nodiscard]] const InstanceEntry* findFaster(const InstanceRequirements& requirements,
                                                const std::string& current, double minSpeedup,
                                                base::Random& random, base::TimePoint now) const;
  /// Returns an instance with a free slot and an event interval of at most `maxEventIntervalMs`;
  /// null if there is none or `current` is loading weights.
  [[nodiscard]] const InstanceEntry* findWithinInterval(const InstanceRequirements& requirements,
                                                        const std::string& current,
                                                        double maxEventIntervalMs,
                                                        base::Random& random,
                                                        base::TimePoint now) const;
  /// Returns an eligible instance with a free slot that is neither tried nor on standby; null if
  /// there is none.
  [[nodiscard]] const InstanceEntry* findWithFreeSlot(const InstanceRequirements& requirements,
                                                      const std::set<std::string>& triedInstances,
                                                      base::Random& random,
                                                      base::TimePoint now) const;
  /// Whether a newer incarnation of the instance has registered, so that its runs are lost.
  [[nodiscard]] bool hasRestarted(const std::string& id) const;
  /// Whether requests may be sent to the instance now.
  [[nodiscard]] bool isUsable(const std::string& id, const InstanceRequirements& requirements,
                              base::TimePoint now) const;
  void onLoad(const std::string& id, const ReportedLoad& load, base::TimePoint now);
  /// Records the number of items of all gateways at an engine, as reported by the ledgers.
  void onClusterLoad(const std::string& id, std::uint32_t items, base::TimePoint now);
  /// Records the weights version that a response reported.
  void onVersion(const std::string& id, const std::string& model, std::uint64_t version);

  [[nodiscard]] const InstanceEntry* find(const std::string& id) const;
  /// Measured event intervals by engine name.
  [[nodiscard]] std::map<std::string, jobs::EventIntervalReport> eventIntervals(
      base::TimePoint now) const;
  /// Number of instances of a service that are neither draining nor removed.
  [[nodiscard]] std::size_t count(const std::string& service) const;
  /// Slots of engines by model and weights version.
  [[nodiscard]] jobs::FreeSlots freeSlots(const ServiceModels& models) const;
  /// Occupied share of the slots of a service. Counts the larger of the reported load and the
  /// requests of this gateway at each instance.
  [[nodiscard]] double occupancy(const std::string& service) const;
  [[nodiscard]] const std::map<std::string, InstanceEntry>& entries() const { return m_entries; }

 private:
  [[nodiscard]] static bool serves(const InstanceEntry& entry,
                                   const InstanceRequirements& requirements);
  /// Number of active requests at an instance, as far as known.
  [[nodiscard]] static double activeRequests(const InstanceEntry& entry, base::TimePoint now);
  /// Current slowdown as a factor; 1 if normal or unknown.
  [[nodiscard]] static double slowdown(const InstanceEntry& entry, base::TimePoint now);
  /// Whether the instance meets the requirements, is not ejected and is not loading weights.
  [[nodiscard]] static bool isEligible(const InstanceEntry& entry,
                                       const InstanceRequirements& requirements,
                                       base::TimePoint now);
  [[nodiscard]] static bool hasFreeSlot(const InstanceEntry& entry, base::TimePoint now);
  /// Returns the cheapest of `choices` random candidates; null if there are no candidates.
  [[nodiscard]] const InstanceEntry* pickCheapest(
      const std::vector<const InstanceEntry*>& candidates, int choices,
      const InstanceRequirements& requirements, base::Random& random, base::TimePoint now) const;
  /// Relative cost of running the request at an instance; lower is better.
  [[nodiscard]] double cost(const InstanceEntry& entry, const InstanceRequirements& requirements,
                            base::TimePoint now) const;

  /// Slots of one model by weights version.
  using SlotsByVersion = std::map<std::uint64_t, std::uint32_t>;

  /// Returns the cheapest instance of this gateway's subset; null if the subset is busy or there
  /// are so few candidates that no subset is used.
  [[nodiscard]] const InstanceEntry* selectFromSubset(std::vector<const InstanceEntry*> candidates,
                                                      const InstanceRequirements& requirements,
                                                      base::TimePoint now) const;
  [[nodiscard]] static const InstanceEntry* leastLoaded(
      const std::vector<const InstanceEntry*>& candidates, base::TimePoint now);
  void upsert(const directory::InstanceView& instance);
  /// Marks the earlier incarnations of an instance as restarted. The successor inherits their event
  /// intervals because it runs on the same machine.
  void retirePreviousIncarnations(const std::string& id, InstanceEntry& successor);
  void retire(InstanceEntry& previous, InstanceEntry& successor);
  /// Marks an instance as removed. It gets no new requests and is kept while requests are in
  /// flight.
  void remove(const std::string& id);
  /// Drops removed instances without requests in flight.
  void purgeRemoved();
  /// Instances of one service, by id.
  [[nodiscard]] const std::map<std::string, InstanceEntry*>& instancesOf(
      const std::string& service) const;
  /// Adds an instance's slots to m_slots, or removes them before the instance changes.
  void addSlots(const InstanceEntry& entry);
  void removeSlots(const InstanceEntry& entry);

  const InstanceTableSettings m_settings;
  std::map<std::string, InstanceEntry> m_entries;
  std::map<std::string, std::map<std::string, InstanceEntry*>> m_byService;
  /// Slots of instances that accept work, by service and model. Maintained incrementally because
  /// every lease call needs them.
  std::map<std::string, std::map<std::string, SlotsByVersion>> m_slots;
  std::set<std::string> m_measured;  ///< ids of instances with a known event interval
  std::set<std::string> m_removed;   ///< ids of instances that the controllers removed
};

}  // namespace tackpick::forwarding
