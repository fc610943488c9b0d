/// \file
/// Chooses among the engines that may run items of one model and minimum version.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/item_requirements.h"
#include "jobs/placement_engine.h"

namespace tackpick::jobs {

/// Deterministic. Engines of about the same pace are kept in a heap by their cost, so that a choice
/// costs the logarithm of the engines. Their loads only rise while they are here.
class SpeedTiers {
 public:
  /// Of engines of equal cost the one that was added first is chosen.
  void add(EngineWork& engine);
  /// The engine that is to run the item; null when all are full. onPlaced() follows once the item
  /// counts there.
  [[nodiscard]] EngineWork* choose(const ItemRequirements& need);
  void onPlaced();

 private:
  /// An engine of a heap, at the cost that it had when it was put there.
  struct Candidate {
    double cost = 0;
    std::size_t index = 0;  ///< of equals the first is taken
    EngineWork* engine = nullptr;

    /// For a heap whose front is the cheapest.
    bool operator<(const Candidate& other) const {
      return std::pair(cost, index) > std::pair(other.cost, other.index);
    }
  };
  /// Engines of about the same pace.
  struct SpeedTier {
    std::vector<Candidate> heap;
    std::uint32_t slots = 0;
    std::uint32_t taken = 0;  ///< of the slots

    [[nodiscard]] const Candidate& front() const { return heap.front(); }
    void push(const Candidate& candidate);
    Candidate pop();
    /// Brings the cheapest engine that is not full to the front.
    void settle();
  };

  /// The item ends in time there, also when its text is much longer than expected, and need not
  /// wait for a place.
  [[nodiscard]] static bool isSafe(const EngineWork& engine, const ItemRequirements& need);
  /// When a class's front will have run the item, to compare; of equals the first added is less.
  [[nodiscard]] static std::pair<double, std::size_t> endOf(const SpeedTier& of,
                                                            const ItemRequirements& need);
  /// The slowest class whose front is safe, slower ones only while slots at the faster are short;
  /// null: none is, or the need is not known.
  [[nodiscard]] SpeedTier* slowestSafe(const ItemRequirements& need);
  /// The class whose front will have run the item soonest; null: all are full.
  [[nodiscard]] SpeedTier* soonest(const ItemRequirements& need);

  std::array<SpeedTier, kSpeedTiers> m_classes;  ///< fastest first
  std::size_t m_added = 0;
  SpeedTier* m_chosen = nullptr;
  std::uint32_t m_takenBefore = 0;  ///< slots of the chosen engine
};

}  // namespace tackpick::jobs
