/// \file
/// Capacity in the replicated state of the controllers.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "duties/capacity_messages.h"

namespace tackpick::duties {

/// Count requested from the platform.
struct DesiredCapacity {
  std::uint32_t count = 0;
  bool accepted = false;  ///< whether the platform accepted the count

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, accepted);
  }
};

/// Baselines and desired counts of all pools. Deterministic.
class CapacityState {
 public:
  void apply(const RecordBaseline& command);
  void apply(const SetCapacity& command);
  void apply(const ConfirmCapacity& command);

  [[nodiscard]] const std::map<InstancePool, DesiredCapacity>& desired() const { return m_desired; }
  [[nodiscard]] std::optional<DesiredCapacity> desired(const InstancePool& pool) const;
  /// Returns the instances of a pool that ran before the first call for it.
  [[nodiscard]] std::uint32_t baseline(const InstancePool& pool) const;
  /// Returns the zones in which instances of `service` ran before the first call.
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
