/// \file
/// The part of the controllers' replicated state that concerns capacity.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "duties/capacity_messages.h"

namespace tackpick::duties {

/// What the platform is asked for.
struct DesiredCapacity {
  std::uint32_t count = 0;
  bool taken = false;  ///< by the platform

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, taken);
  }
};

/// Deterministic.
class CapacityState {
 public:
  void apply(const RecordBaseline& command);
  void apply(const SetCapacity& command);
  void apply(const ConfirmCapacity& command);

  [[nodiscard]] const std::map<InstancePool, DesiredCapacity>& desired() const { return m_desired; }
  [[nodiscard]] std::optional<DesiredCapacity> desired(const InstancePool& subject) const;
  /// Instances that ran before the first call about them; zero when none were seen.
  [[nodiscard]] std::uint32_t baseline(const InstancePool& subject) const;
  /// Zones of `service` in which instances ran before the first call.
  [[nodiscard]] std::set<std::string> zones(const std::string& service) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(m_baselines, m_desired);
  }

 private:
  std::map<InstancePool, std::uint32_t> m_baselines;
  std::map<InstancePool, DesiredCapacity> m_desired;
};

}  // namespace tackpick::duties
