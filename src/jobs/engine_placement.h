/// \file
/// Where a leased item should run: the ledgers' leader sees the items of all gateways, each gateway
/// only its own.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/item_need.h"
#include "jobs/pace_book.h"

namespace tackpick::jobs {

/// An engine as the controllers see it.
struct PlacementEngine {
  std::string id;
  std::uint32_t slots = 0;
  std::map<std::string, std::uint64_t> versions;  ///< weights by model
  std::string zone = {};
  bool takesItems = true;  ///< now; what is known of its pace outlasts a change of weights
  bool reserve = false;    ///< only when the others are full
  /// Where it runs: what is known of the pace outlasts the engine's restarts. Empty: as the id.
  std::string machine = {};
};

/// What placing goes by at one engine.
struct EngineSight {
  std::string id;
  std::string zone;
  double paceMs = 0;                    ///< expected; zero: unknown
  std::uint32_t workTimePercent = 100;  ///< at this moment, of what is usual
  /// Since the last sample; nothing: the pace is what is typical of the zone.
  std::optional<base::Duration> sampleAge;
  std::uint32_t items = 0;
};

/// Deterministic. Items are counted at the engine where their gateway runs them, or where they were
/// placed when it has not said so yet. The engines that may run items of one model and minimum
/// version are kept in heaps by their cost, one for each class of paces, so that placing an item
/// costs the logarithm of the engines.
///
/// An item whose length and due time are known goes to the slowest class where it ends in time even
/// if its text turns out much longer than expected: faster engines stay free for those that need
/// them. Any other item goes where it ends soonest.
class EnginePlacement {
 public:
  EnginePlacement() = default;
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;
  ~EnginePlacement() = default;

  /// All engines there are; all others are forgotten.
  void setEngines(std::vector<PlacementEngine> engines);
  /// Engines that changed or are new, and ids of those that are gone.
  void changeEngines(std::vector<PlacementEngine> changed, const std::vector<std::string>& removed);
  /// A gateway tells of the paces of engines, by machine.
  void notePaces(const std::map<std::string, PaceReport>& reports, base::TimePoint now);
  /// Items run at each engine, before the next placements.
  void setLoads(const std::map<std::string, std::uint32_t>& loads, base::TimePoint now);
  /// False while no engine takes items: gateways choose by themselves.
  [[nodiscard]] bool knowsEngines() const { return m_taking > 0; }
  /// Engines that placing looks at.
  [[nodiscard]] std::size_t engineCount() const { return m_inUse.size(); }
  /// Milliseconds between two events that are expected of a known engine; else zero.
  [[nodiscard]] double paceOf(const std::string& engine) const;
  /// The zone of a known engine; else empty.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// Places at all engines that take items and are not in reserve, by zone.
  [[nodiscard]] std::map<std::string, std::uint32_t> placesByZone() const;
  /// The engine that will have run an item soonest, counting the item there from now on. A few
  /// items more than an engine has places wait there, so that it never stands idle between a result
  /// and the next lease. Empty when every engine that may run the item is full.
  [[nodiscard]] std::string place(const ItemNeed& need);

  /// The item was not leased after all.
  void takeBack(const std::string& engine);
  /// All engines, by id.
  [[nodiscard]] std::vector<EngineSight> sight(base::TimePoint now) const;

 private:
  /// Three of those that are faster than is typical, and three of the slower.
  static constexpr std::size_t kPaceClasses = 7;
  static constexpr std::size_t kTypicalClass = kPaceClasses / 2;

  /// An engine with what is known of its work.
  struct Engine {
    PlacementEngine told;
    std::uint32_t load = 0;                 ///< items there
    PaceBook::Entry* pace = nullptr;        ///< of its machine
    double paceMs = 0;                      ///< expected when paces were last taken over
    base::Duration momentaryDelay{0};       ///< likewise
    std::size_t paceClass = kTypicalClass;  ///< likewise, of the pace at that moment
  };
  using Engines = std::map<std::string, Engine, std::less<>>;

  /// An engine of a heap, at the cost that it had when it was put there.
  struct Candidate {
    double cost = 0;
    std::size_t index = 0;  ///< of equals the first is taken
    Engine* engine = nullptr;

    /// For a heap whose front is the cheapest.
    bool operator<(const Candidate& other) const {
      return std::pair(cost, index) > std::pair(other.cost, other.index);
    }
  };
  using Heap = std::vector<Candidate>;
  /// Engines of about the same pace.
  struct PaceClass {
    Heap heap;
    std::uint32_t places = 0;
    std::uint32_t taken = 0;  ///< of the places
  };
  /// Fastest first.
  using PaceClassList = std::array<PaceClass, kPaceClasses>;

  [[nodiscard]] static double cost(const Engine& engine);
  [[nodiscard]] static const std::string& machineOf(const PlacementEngine& told);
  [[nodiscard]] static bool isFull(const Engine& engine);
  [[nodiscard]] Engine* find(std::string_view id);
  void takeIn(PlacementEngine told);
  void attach(Engine& engine);
  void detach(Engine& engine);
  void remove(const std::string& id);
  void addLoad(Engine& engine, std::uint32_t items);
  [[nodiscard]] static std::uint32_t takenPlaces(const Engine& engine);
  /// Loads or engines changed.
  void forgetSearches();
  void takePaces(base::TimePoint now);
  void takePace(Engine& engine, base::TimePoint now);
  [[nodiscard]] std::size_t paceClassOf(double paceMs) const;
  [[nodiscard]] PaceClassList candidatesFor(const std::string& model,
                                            std::uint64_t minimumVersion) const;
  [[nodiscard]] PaceClassList& candidatesOf(const std::string& model, std::uint64_t minimumVersion);
  /// Brings the cheapest engine that is not full to the front.
  static void settle(Heap& heap);
  /// Of the front of a class: the item ends in time there, also when its text is much longer than
  /// expected, and need not wait for a place.
  [[nodiscard]] static bool isSafe(const Engine& engine, const ItemNeed& need);
  /// The slowest class whose front is safe, slower ones only while places at the faster are short;
  /// nothing: none is, or the need is not known.
  [[nodiscard]] static PaceClass* slowestSafe(PaceClassList& classes, const ItemNeed& need);
  /// The class whose front will have run the item soonest; nothing: all are full.
  [[nodiscard]] static PaceClass* soonest(PaceClassList& classes, const ItemNeed& need);
  [[nodiscard]] std::string placeAtFront(PaceClass& chosen);
  [[nodiscard]] std::string placeInUse(const ItemNeed& need);
  [[nodiscard]] std::string placeInReserve(const std::string& model, std::uint64_t minimumVersion);

  Engines m_engines;
  std::size_t m_taking = 0;                     ///< engines that take items
  std::map<std::string_view, Engine*> m_inUse;  ///< those of them that are not in reserve, by id
  /// By model: no engine in reserve holds newer weights.
  std::map<std::string, std::uint64_t> m_newestInReserve;
  /// By model and minimum version: those in reserve before this one have no room.
  std::map<std::pair<std::string, std::uint64_t>, Engines::iterator> m_reserveFrom;
  std::set<Engine*> m_loaded;  ///< engines with items
  /// By model and minimum version; made anew after loads or engines changed.
  std::map<std::pair<std::string, std::uint64_t>, PaceClassList> m_candidates;
  PaceBook m_paces;
  std::map<std::string, std::set<Engine*>> m_byMachine;
  base::TimePoint m_pacesAt{};  ///< when paces were last taken over
};

}  // namespace tackpick::jobs
