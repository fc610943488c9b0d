/// \file
/// Which model each engine follows.
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

/// What the leader has heard of an engine.
struct ReportedEngine {
  base::TimePoint lastSeenAt{};
  std::map<std::string, std::uint64_t> versions;
};
using ReportedEngines = std::map<std::string, ReportedEngine>;

/// The version of `model` that an engine reported; zero when it reported none.
[[nodiscard]] std::uint64_t reportedVersion(const ReportedEngine& engine, const std::string& model);
[[nodiscard]] std::uint64_t reportedVersion(const ReportedEngines& engines,
                                            const std::string& instance, const std::string& model);

/// The model that each engine follows, its home.
using EngineAssignments = std::map<std::string, std::string>;

/// Knobs of EngineAssigner.
struct EngineAssignerSettings {
  /// With less recent work than this (events of streams) demand is taken as unknown: engines keep
  /// the assignments that they have.
  double minDemand = 300;
  /// An engine changes its home at most this often.
  base::Duration moveInterval = base::seconds(3);
  EngineRequirementsSettings wanted;
};

/// When engines hold several trained models, each engine follows one of them; the others keep the
/// versions they have. Models get engines in proportion to what they are asked. Where there are
/// more engines than all models want, each model gets what it wants, spread over zones, and the
/// rest stay on standby: without orders, and without work while others have room. Deterministic;
/// owned by one thread.
class EngineAssigner {
 public:
  /// Engines unresponsive for longer than `heartbeatTimeout` are not counted on.
  EngineAssigner(EngineAssignerSettings settings, base::Duration heartbeatTimeout)
      : m_settings(settings), m_silenceLimit(heartbeatTimeout), m_wanted(settings.wanted) {}

  void reset(EngineAssignments assignments);
  void note(const OpenItems& items, base::TimePoint now) { m_wanted.note(items, now); }
  /// Brings the assignments up to date. `demand`: recent work by model.
  void assign(const DirectoryState& state, const ReportedEngines& engines,
              const std::map<std::string, double>& demand, base::TimePoint now);
  [[nodiscard]] const EngineAssignments& assignments() const { return m_homes; }
  /// Engines of all services with models.
  [[nodiscard]] std::size_t engineCount() const { return m_engineCount; }
  /// True when no model needs the engine now.
  [[nodiscard]] bool isStandby(const InstanceRecord& engine) const {
    return m_servicesWithStandby.contains(engine.service) && !m_homes.contains(engine.id);
  }

 private:
  void assignOf(const Service& service, const DirectoryState& state, const ReportedEngines& engines,
                const std::map<std::string, double>& demand, base::TimePoint now);
  /// What each model of the service is asked of the engines, in shares of the whole: work done, and
  /// never less than half of what its open items would be.
  [[nodiscard]] std::map<std::string, double> askedOf(
      const Service& service, const std::map<std::string, double>& demand) const;
  /// Models with open items and less than half of the engines due to them get these at once.
  void feedStarved(const ReportedEngines& engines, const std::map<std::string, std::size_t>& shares,
                   std::map<std::string, std::size_t>& counts);
  /// `missing` engines of models with more than their share follow `model` from now on, those first
  /// that hold its newest weights.
  void reassignEngines(const std::string& model, std::size_t missing,
                       const ReportedEngines& engines,
                       const std::map<std::string, std::size_t>& shares,
                       std::map<std::string, std::size_t>& counts);
  /// By model, of engines with `slots` each.
  [[nodiscard]] std::map<std::string, std::size_t> requiredEngines(const Service& service,
                                                                   std::uint32_t slots) const;
  /// Gives each model what it wants of more engines than all want.
  void balanceStandby(const Service& service, const std::map<std::string, std::size_t>& wanted,
                      const DirectoryState& state, const ReportedEngines& engines,
                      base::TimePoint now);
  /// Assignments for `missing` more engines, those first that hold the newest weights of `model`,
  /// evenly over the zones.
  void activateStandby(const Service& service, const std::string& model, std::size_t missing,
                       const DirectoryState& state, const ReportedEngines& engines,
                       base::TimePoint now);
  /// One engine that follows `model` goes back, now and then.
  void releaseToStandby(const std::string& model, base::TimePoint now);
  [[nodiscard]] bool isHeard(const std::string& instance, const ReportedEngines& engines,
                             base::TimePoint now) const;
  void rebalanceOne(const Service& service, const DirectoryState& state,
                    const std::map<std::string, std::size_t>& counts,
                    const std::map<std::string, std::size_t>& shares, base::TimePoint now);

  const EngineAssignerSettings m_settings;
  const base::Duration m_silenceLimit;
  EngineRequirements m_wanted;
  std::set<std::string>
      m_servicesWithStandby;  ///< services with more engines than their models want
  std::size_t m_engineCount = 0;
  EngineAssignments m_homes;
  base::TimePoint m_movedAt{};  ///< when an engine last changed its home
};

}  // namespace tackpick::directory
