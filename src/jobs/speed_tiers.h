/// \file
/// Selects among the engines that may run items of one model and minimum version.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/item_requirements.h"
#include "jobs/placement_engine.h"

namespace tackpick::jobs {

/// Engines of similar speed are kept in a heap by their cost, so that a selection takes logarithmic
/// time. The loads of the engines may only increase during the lifetime of this object.
/// Deterministic.
class SpeedTiers {
 public:
  /// Adds an engine. Among engines of equal cost the one added first is selected.
  void add(EngineState& engine);
  /// Returns the engine for the item; null if all are full. onPlaced() must be called once the item
  /// counts as load of the engine.
  [[nodiscard]] EngineState* choose(const ItemRequirements& requirements);
  void onPlaced();

 private:
  /// An engine in a heap, with its cost when it was inserted.
  struct Candidate {
    double cost = 0;
    std::size_t index = 0;  ///< insertion order; resolves ties
    EngineState* engine = nullptr;

    /// Inverted, so that the front of the heap is the cheapest.
    bool operator<(const Candidate& other) const {
      return std::pair(cost, index) > std::pair(other.cost, other.index);
    }
  };
  /// Engines of similar speed.
  struct SpeedTier {
    std::vector<Candidate> heap;
    std::uint32_t slots = 0;
    std::uint32_t slotsInUse = 0;

    [[nodiscard]] const Candidate& front() const { return heap.front(); }
    void push(const Candidate& candidate);
    Candidate pop();
    /// Moves the cheapest engine that is not full to the front.
    void refreshFront();
  };

  /// Whether the engine has a free slot and completes the item in time even if its text is much
  /// longer than expected.
  [[nodiscard]] static bool meetsDeadline(const EngineState& engine,
                                          const ItemRequirements& requirements);
  /// Returns a key that orders tiers by the finish time of the item at their front engine; ties are
  /// resolved by insertion order.
  [[nodiscard]] static std::pair<double, std::size_t> finishKey(
      const SpeedTier& tier, const ItemRequirements& requirements);
  /// Returns the slowest tier whose front engine meets the deadline; slower tiers are considered
  /// only while slots of the faster ones are scarce. Null if there is none or the requirements are
  /// unknown.
  [[nodiscard]] SpeedTier* slowestMeetingDeadline(const ItemRequirements& requirements);
  /// Returns the tier whose front engine finishes the item first; null if all are full.
  [[nodiscard]] SpeedTier* fastestFinish(const ItemRequirements& requirements);

  std::array<SpeedTier, kSpeedTiers> m_tiers;  ///< fastest first
  std::size_t m_nextIndex = 0;
  SpeedTier* m_chosen = nullptr;
  std::uint32_t m_usedBefore = 0;  ///< used slots of the chosen engine before the placement
};

}  // namespace tackpick::jobs
