/// \file
/// How many engines each trained model uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// Open items of batches by model, as the ledgers' leader counts them.
using OpenItems = std::map<std::string, std::uint32_t>;

/// Knobs of EngineRequirements.
struct EngineRequirementsSettings {
  /// Slots for each open item at the peak, in percent: while half of a model's engines change
  /// their weights the others still hold three quarters of a step.
  std::uint32_t headroomPercent = 150;
  /// A model has at least so many, known demand or none: enough for a first step of 384 items at
  /// six slots an engine. Deployments with fewer engines than this for each model use all.
  std::size_t minEngines = 64;
  /// Peaks are forgotten after this time, so that a pause of some steps loses no engine.
  base::Duration memory = base::seconds(20);
};

/// Every engine that follows a model costs an order and a load for each version, and is news to
/// every node: in a large fleet only those that the items need should.
/// Demand counts at once when it rises, and is forgotten slowly. Deterministic.
class EngineRequirements {
 public:
  explicit EngineRequirements(EngineRequirementsSettings settings) : m_settings(settings) {}

  /// All that is open: a model that is not named has nothing.
  void note(const OpenItems& items, base::TimePoint now);
  /// Open items of `model` at the peak; zero when none are known.
  [[nodiscard]] std::uint32_t openItems(const std::string& model) const;
  /// Engines of `slots` each that `model` should use.
  [[nodiscard]] std::size_t of(const std::string& model, std::uint32_t slots) const;

 private:
  struct Peak {
    std::uint32_t items = 0;
    std::uint32_t since = 0;  ///< the most after `at`
    base::TimePoint at{};
  };

  void noteModel(Peak& peak, std::uint32_t open, base::TimePoint now) const;

  const EngineRequirementsSettings m_settings;
  std::map<std::string, Peak> m_peaks;  ///< by model
};

}  // namespace tackpick::directory
