/// \file
/// Strongly typed identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tackpick::base {

/// A 64-bit identifier. `Tag` makes each kind of identifier a separate type. Zero means "none".
template <typename Tag>
struct NumericId {
  std::uint64_t value = 0;

  auto operator<=>(const NumericId&) const = default;
  [[nodiscard]] bool valid() const { return value != 0; }

  template <class Archive>
  std::uint64_t save_minimal(const Archive&) const {
    return value;
  }
  template <class Archive>
  void load_minimal(const Archive&, const std::uint64_t& stored) {
    value = stored;
  }
};

/// A string identifier that users choose, such as the name of a tenant or batch.
template <typename Tag>
struct StringId {
  std::string value;

  auto operator<=>(const StringId&) const = default;
  [[nodiscard]] bool valid() const { return !value.empty(); }

  template <class Archive>
  std::string save_minimal(const Archive&) const {
    return value;
  }
  template <class Archive>
  void load_minimal(const Archive&, const std::string& stored) {
    value = stored;
  }
};

/// Identifies one controller, ledger or gateway process. A new identity is created for each empty
/// data directory.
using NodeId = NumericId<struct NodeTag>;
/// Returns the NodeId with the node number `number`, which settings files map to an address, and
/// the random number `instance`, which is generated when a data directory is created. A node that
/// lost its disk therefore returns as another node at the same address.
[[nodiscard]] constexpr NodeId makeNodeId(std::uint32_t number, std::uint32_t instance) {
  constexpr unsigned kInstanceBits = 32;
  return {(static_cast<std::uint64_t>(number) << kInstanceBits) | instance};
}
/// Returns the node number, the upper 32 bits of the identifier.
[[nodiscard]] constexpr std::uint32_t nodeNumber(NodeId node) {
  constexpr unsigned kInstanceBits = 32;
  return static_cast<std::uint32_t>(node.value >> kInstanceBits);
}

/// Identifies a model engine.
using EngineId = NumericId<struct EngineTag>;
/// Identifies one run of an engine process. Each restart is a new incarnation.
using Incarnation = NumericId<struct IncarnationTag>;
/// Identifies a replication group: the controllers or one group of ledgers.
using GroupId = NumericId<struct GroupTag>;
/// Identifies a caller's request within one gateway.
using CallerId = NumericId<struct CallerTag>;
/// Identifies one dispatch of a request or item to an engine. Unique across gateways and restarts.
using AttemptId = NumericId<struct AttemptTag>;
/// Identifies one call from a gateway to a replication group.
using CallId = NumericId<struct CallTag>;
/// Number of a published set of weights; higher is newer.
using WeightsVersion = NumericId<struct WeightsVersionTag>;
/// Number of an accepted configuration. Increases monotonically.
using Revision = NumericId<struct RevisionTag>;

using TenantName = StringId<struct TenantNameTag>;
/// Path of a workload: `tenant/workload`.
using WorkloadPath = StringId<struct WorkloadPathTag>;
/// Name that a trainer gave to a batch, prefixed by the tenant.
using BatchId = StringId<struct BatchTag>;
/// Key that the client chooses so that a repeated request is detected.
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/// Fencing token of the commands of a leader. A receiver rejects any fence lower than the highest
/// it has seen. `term` is the Raft term of the leader that issued it.
struct Fence {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const Fence&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence);
  }
};

}  // namespace tackpick::base

template <typename Tag>
struct std::hash<tackpick::base::NumericId<Tag>> {
  std::size_t operator()(const tackpick::base::NumericId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

template <typename Tag>
struct std::hash<tackpick::base::StringId<Tag>> {
  std::size_t operator()(const tackpick::base::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
