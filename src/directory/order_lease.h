/// \file
/// When a new leader of the controllers may give its first order to an engine.
#pragma once

#include <optional>

#include "base/identifiers.h"
#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::directory {

/// Knobs of OrderLease.
struct OrderLeaseSettings {
  /// Orders of two leaders must lie so far apart.
  base::Duration duration = base::milliseconds(3100);
  /// Engines refuse orders with a lower fence than they have seen, so that a leader which was
  /// replaced while this process did not run cannot undo what this one orders.
  bool enginesCheckFences = false;
};

/// A leader writes a note into the log before it gives orders. Whoever follows it learns from the
/// note when, at the latest, the last of them can have been given, and waits for the rest of the
/// lease only. Deterministic; owned by one thread.
class OrderLease {
 public:
  /// `lastIndex`: of the log when this process started; notes up to there are older than it.
  OrderLease(base::NodeId self, OrderLeaseSettings settings, consensus::LogIndex lastIndex,
             base::TimePoint startedAt)
      : m_self(self), m_settings(settings), m_lastIndex(lastIndex), m_startedAt(startedAt) {}

  /// The newest note in the log, as it is applied: who gives orders, and the note's index.
  void onNote(base::NodeId holder, consensus::LogIndex index, base::TimePoint now);
  /// When this process may give its first order as a leader; the past when it need not wait.
  [[nodiscard]] base::TimePoint freeFrom() const;

 private:
  struct Note {
    base::NodeId holder;
    consensus::LogIndex index = 0;
    base::TimePoint notedAt{};
  };

  const base::NodeId m_self;
  const OrderLeaseSettings m_settings;
  const consensus::LogIndex m_lastIndex;
  const base::TimePoint m_startedAt;
  std::optional<Note> m_note;
};

}  // namespace tackpick::directory
