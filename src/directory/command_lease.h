/// \file
/// When a new leader of the controllers may give its first order to an engine.
#pragma once

#include <optional>

#include "base/identifiers.h"
#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::directory {

/// Knobs of CommandLease.
struct CommandLeaseSettings {
  /// Two holders must not take turns within this time.
  base::Duration duration = base::milliseconds(3100);
  /// A former leader gives no order once another leads, but the last one may still wait for its
  /// connection: no longer than an upstream connection attempt, with a margin.
  base::Duration transit = base::milliseconds(700);
  /// Engines refuse orders with a lower fence than they have seen, so that a leader which was
  /// replaced while this process did not run cannot undo what this one orders.
  bool enginesEnforceFences = false;
};

/// A leader writes a note into the log before it gives orders. From the notes a new leader learns
/// whether it would take turns with another: it gives orders, another does, and it does so again.
/// Only then it waits for the rest of the other's lease; else until the former leader's orders have
/// arrived. Deterministic; owned by one thread.
class CommandLease {
 public:
  /// `lastIndex`: of the log when this process started; notes up to there are older than it.
  CommandLease(base::NodeId self, CommandLeaseSettings settings, consensus::LogIndex lastIndex,
               base::TimePoint startedAt)
      : m_self(self), m_settings(settings), m_lastIndex(lastIndex), m_startedAt(startedAt) {}

  /// The newest note of a holder in the log, as it is applied.
  void onNote(base::NodeId holder, consensus::LogIndex index, base::TimePoint now);
  /// When this process may give its first order, being leader since `leadingSince`.
  [[nodiscard]] base::TimePoint freeFrom(base::TimePoint leadingSince) const;
  /// The same for calls that may be carried out long after they were sent: the whole rest of
  /// another holder's lease; the past when this process need not wait.
  [[nodiscard]] base::TimePoint restOfLease() const;

 private:
  struct Note {
    base::NodeId holder;
    consensus::LogIndex index = 0;
    base::TimePoint notedAt{};
  };

  [[nodiscard]] bool isOlderThanProcess(const Note& note) const {
    return note.index <= m_lastIndex;
  }
  /// When the orders of the note were given, at the latest.
  [[nodiscard]] base::TimePoint latestCommandTime(const Note& note) const {
    return isOlderThanProcess(note) ? m_startedAt : note.notedAt;
  }
  /// This process gave orders so shortly before the other holder that it would take turns with it.
  [[nodiscard]] bool wouldAlternate(const Note& other) const;

  const base::NodeId m_self;
  const CommandLeaseSettings m_settings;
  const consensus::LogIndex m_lastIndex;
  const base::TimePoint m_startedAt;
  std::optional<Note> m_newest;
  std::optional<Note> m_own;  ///< also of this machine before it lost its disk
};

}  // namespace tackpick::directory
