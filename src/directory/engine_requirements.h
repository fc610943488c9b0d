/// \file
/// Number of engines that each trained model requires.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// Number of open batch items by model, as reported by the ledgers' leader.
using OpenItems = std::map<std::string, std::uint32_t>;

/// Settings of EngineRequirements.
struct EngineRequirementsSettings {
  /// Slots per open item at the peak, in percent. Above 100, so that enough slots remain while
  /// engines load weights.
  std::uint32_t headroomPercent = 150;
  /// Minimum number of engines of a model, whether or not demand is known. Deployments with fewer
  /// engines per model use all of them.
  std::size_t minEngines = 64;
  /// Time for which a peak of open items is retained, so that a pause of a few steps releases no
  /// engine.
  base::Duration peakRetention = base::seconds(20);
};

/// Computes the number of engines that each model requires. Each assigned engine needs a load for
/// every version and changes the view of all nodes, so large clusters assign only as many as the
/// open items require. The requirement rises at once with demand and falls after the retention
/// time. Deterministic.
class EngineRequirements {
 public:
  explicit EngineRequirements(EngineRequirementsSettings settings) : m_settings(settings) {}

  /// Updates all models; a model that is not listed has no open items.
  void update(const OpenItems& items, base::TimePoint now);
  /// Returns the open items of `model` at the peak; zero if unknown.
  [[nodiscard]] std::uint32_t openItems(const std::string& model) const;
  /// Returns the number of engines with `slots` slots each that `model` requires.
  [[nodiscard]] std::size_t enginesFor(const std::string& model, std::uint32_t slots) const;

 private:
  struct Peak {
    std::uint32_t items = 0;
    std::uint32_t laterMax = 0;  ///< maximum after `at`
    base::TimePoint at{};
  };

  void updateModel(Peak& peak, std::uint32_t open, base::TimePoint now) const;

  const EngineRequirementsSettings m_settings;
  std::map<std::string, Peak> m_peaks;  ///< by model
};

}  // namespace tackpick::directory
