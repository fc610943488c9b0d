/// \file
/// Assigns engines to models.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "directory/directory_messages.h"
#include "directory/directory_state.h"
#include "directory/engine_requirements.h"

namespace tackpick::directory {

/// Last report of an engine to the leader.
struct ReportedEngine {
  base::TimePoint lastSeenAt{};
  std::map<std::string, std::uint64_t> versions;
};
using ReportedEngines = std::map<std::string, ReportedEngine>;

/// Returns the version of `model` that an engine reported; zero if none.
[[nodiscard]] std::uint64_t reportedVersion(const ReportedEngine& engine, const std::string& model);
[[nodiscard]] std::uint64_t reportedVersion(const ReportedEngines& engines,
                                            const std::string& instance, const std::string& model);

/// Assigned model by engine id.
using EngineAssignments = std::map<std::string, std::string>;

/// Settings of EngineAssigner.
struct EngineAssignerSettings {
  /// Recent demand (stream events) below which it counts as unknown and assignments stay as they
  /// are.
  double minDemand = 300;
  /// Minimum time between two reassignments of engines.
  base::Duration reassignInterval = base::seconds(3);
  EngineRequirementsSettings requirements;
};

/// Assigns each engine of a service with several trained models to one of them; the engine keeps
/// the versions it holds of the other models. Models get engines in proportion to demand. When
/// there are more engines than all models require, each model gets the required number, spread over
/// zones, and the rest are on standby: they get no load commands, and no work while other engines
/// have free slots. Deterministic; owned by one thread.
class EngineAssigner {
 public:
  /// `heartbeatTimeout`: time without a heartbeat after which an engine is not counted.
  EngineAssigner(EngineAssignerSettings settings, base::Duration heartbeatTimeout)
      : m_settings(settings),
        m_heartbeatTimeout(heartbeatTimeout),
        m_requirements(settings.requirements) {}

  void reset(EngineAssignments assignments);
  void update(const OpenItems& items, base::TimePoint now) { m_requirements.update(items, now); }
  /// Updates the assignments. `demand`: recent demand by model.
  void assign(const DirectoryState& state, const ReportedEngines& engines,
              const std::map<std::string, double>& demand, base::TimePoint now);
  [[nodiscard]] const EngineAssignments& assignments() const { return m_assignments; }
  /// Returns the number of engines of all services with models.
  [[nodiscard]] std::size_t engineCount() const { return m_engineCount; }
  /// Whether the engine is on standby.
  [[nodiscard]] bool isStandby(const InstanceRecord& engine) const {
    return m_servicesWithStandby.contains(engine.service) && !m_assignments.contains(engine.id);
  }

 private:
  void assignService(const Service& service, const DirectoryState& state,
                     const ReportedEngines& engines, const std::map<std::string, double>& demand,
                     base::TimePoint now);
  /// Returns the relative demand by model of the service: the share of recent work, but at least
  /// half of the share of open items.
  [[nodiscard]] std::map<std::string, double> demandShares(
      const Service& service, const std::map<std::string, double>& demand) const;
  /// Reassigns engines at once to models with open items that have less than half of their share.
  void assignStarvedModels(const ReportedEngines& engines,
                           const std::map<std::string, std::size_t>& shares,
                           std::map<std::string, std::size_t>& counts);
  /// Reassigns `missing` engines from models with more than their share to `model`, preferring
  /// engines with its newest weights.
  void reassignEngines(const std::string& model, std::size_t missing,
                       const ReportedEngines& engines,
                       const std::map<std::string, std::size_t>& shares,
                       std::map<std::string, std::size_t>& counts);
  /// Returns the required engines by model when each has `slots` slots.
  [[nodiscard]] std::map<std::string, std::size_t> requiredEngines(const Service& service,
                                                                   std::uint32_t slots) const;
  /// Gives each model its required engines when there are more engines than all models require.
  void balanceStandby(const Service& service, const std::map<std::string, std::size_t>& required,
                      const DirectoryState& state, const ReportedEngines& engines,
                      base::TimePoint now);
  /// Assigns `missing` standby engines to `model`, preferring those with its newest weights, and
  /// spreads them evenly over the zones.
  void activateStandby(const Service& service, const std::string& model, std::size_t missing,
                       const DirectoryState& state, const ReportedEngines& engines,
                       base::TimePoint now);
  /// Releases one engine of `model` to standby, at most once per reassignment interval.
  void releaseToStandby(const std::string& model, base::TimePoint now);
  [[nodiscard]] bool isResponsive(const std::string& instance, const ReportedEngines& engines,
                                  base::TimePoint now) const;
  void rebalanceOne(const Service& service, const DirectoryState& state,
                    const std::map<std::string, std::size_t>& counts,
                    const std::map<std::string, std::size_t>& shares, base::TimePoint now);

  const EngineAssignerSettings m_settings;
  const base::Duration m_heartbeatTimeout;
  EngineRequirements m_requirements;
  std::set<std::string> m_servicesWithStandby;  ///< services with more engines than required
  std::size_t m_engineCount = 0;
  EngineAssignments m_assignments;
  base::TimePoint m_reassignedAt{};  ///< time of the last reassignment
};

}  // namespace tackpick::directory
