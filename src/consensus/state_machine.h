/// \file
/// Interface of a replicated state machine.
#pragma once

#include "base/serialization.h"
#include "consensus/raft_types.h"

namespace tackpick::consensus {

/// Deterministic state machine. Every replica applies the same commands in the same order, so
/// apply() must depend only on the state, the command and its index.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  /// Applies a committed command and returns the encoded result for the proposer.
  virtual base::Bytes apply(LogIndex index, const base::Bytes& command) = 0;
  /// Returns the encoded result of a read, which does not change the state.
  [[nodiscard]] virtual base::Bytes query(const base::Bytes& query) const = 0;
  [[nodiscard]] virtual base::Bytes takeSnapshot() const = 0;
  virtual void loadSnapshot(const base::Bytes& snapshot) = 0;
};

}  // namespace tackpick::consensus
