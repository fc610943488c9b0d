/// \file
/// Identifiers with types, so that a batch identifier cannot be passed where an engine is meant.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tackpick::base {

/// A 64-bit identifier; `Tag` only makes each kind a type of its own. Zero means "none".
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

/// An identifier chosen by users (a tenant's or batch's name).
template <typename Tag>
struct TextId {
  std::string value;

  auto operator<=>(const TextId&) const = default;
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

/// One process of ours. An empty data folder always gets a new identity.
using NodeId = NumericId<struct NodeTag>;
/// A NodeId is a number, which stands in settings files and has an address, and an instance, which
/// is drawn anew whenever a data folder is created. So a machine that lost its disk is another
/// node than before, though it is reached at the same address.
[[nodiscard]] constexpr NodeId makeNodeId(std::uint32_t number, std::uint32_t instance) {
  constexpr unsigned kInstanceBits = 32;
  return {(static_cast<std::uint64_t>(number) << kInstanceBits) | instance};
}
/// The node's number.
[[nodiscard]] constexpr std::uint32_t nodeNumber(NodeId node) {
  constexpr unsigned kInstanceBits = 32;
  return static_cast<std::uint32_t>(node.value >> kInstanceBits);
}

/// A model engine (back end).
using EngineId = NumericId<struct EngineTag>;
/// One run of an engine process; a restart is a new incarnation.
using Incarnation = NumericId<struct IncarnationTag>;
/// A replication group: the controllers, or one group of ledgers.
using GroupId = NumericId<struct GroupTag>;
/// One caller's request inside one gateway.
using CallerId = NumericId<struct CallerTag>;
/// One dispatch of a job to an engine; unique over all gateways and restarts.
using AttemptId = NumericId<struct AttemptTag>;
/// One call from a gateway to a replication group.
using CallId = NumericId<struct CallTag>;
/// Number of a published set of weights; higher is newer.
using WeightsVersion = NumericId<struct WeightsVersionTag>;
/// Number of an accepted configuration; it only goes up.
using Revision = NumericId<struct RevisionTag>;

using TenantName = TextId<struct TenantNameTag>;
/// `tenant/workload`.
using WorkloadPath = TextId<struct WorkloadPathTag>;
/// A batch as its trainer names it, prefixed by the tenant.
using BatchId = TextId<struct BatchTag>;
/// Chosen by the client so that a resend is recognised.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>;

/// Orders things issued by one authority over time: a receiver refuses any fence lower than the
/// highest it has seen. `term` is the issuing leader's Raft term.
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
struct std::hash<tackpick::base::TextId<Tag>> {
  std::size_t operator()(const tackpick::base::TextId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
