/// \file
/// What one gateway sees of instances that end under its requests.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::quarantine {

/// Knobs of a CrashObserver.
struct CrashObserverSettings {
  /// A broken run counts as a crash of its instance unless the instance shows within this time that
  /// it lives. Servers that are in use answer something within tens of milliseconds.
  base::Duration certainty = base::milliseconds(300);
  /// A process that ended does not serve again before this time. Engines take seconds.
  base::Duration minRestartTime = base::milliseconds(800);
  /// An answer may have been on its way when its instance ended, or waited to be read.
  base::Duration maxResponseDelay = base::milliseconds(100);
};

/// A connection that ends without an answer says little: it may have been cut, or reset by a server
/// that goes on. That the instance answers others meanwhile clears the request. Deterministic;
/// owned by one thread.
class CrashObserver {
 public:
  explicit CrashObserver(CrashObserverSettings settings = {}) : m_settings(settings) {}

  /// A run that had begun, or may have, ended without an answer.
  void onBroken(const Crash& crash, base::TimePoint now);
  /// A run that was sent to the instance at `sentAt` was answered.
  void onAnswered(const std::string& instance, base::TimePoint sentAt, base::TimePoint now);
  /// Instances that ended under the request, those not certain yet included.
  [[nodiscard]] std::size_t crashes(const RequestFingerprint& request) const;
  /// Crashes that have become certain since the last call.
  [[nodiscard]] std::vector<Crash> takeCertain(base::TimePoint now);
  /// Those that were taken are due again: whoever was told has forgotten them.
  void tellAgain();
  /// An instance has borne the request.
  void forget(const RequestFingerprint& request) { m_suspects.erase(request); }
  [[nodiscard]] bool empty() const { return m_suspects.empty(); }

 private:
  struct SuspectedCrash {
    Crash crash;
    base::TimePoint brokenAt{};
    bool certain = false;
    bool told = false;
  };
  using SuspectedCrashes = std::map<std::string, SuspectedCrash>;  ///< by instance

  [[nodiscard]] bool showsLife(const SuspectedCrash& suspected, base::TimePoint sentAt,
                               base::TimePoint now) const;
  void forgetOld(base::TimePoint now);
  /// Drops requests of which no crash is left.
  void dropCleared();
  void makeRoom();

  const CrashObserverSettings m_settings;
  /// Nothing becomes certain or is forgotten before: suspects are kept for minutes, and whoever
  /// asks for news many times a second must not walk over all of them each time.
  base::TimePoint m_dueAt = base::TimePoint::max();
  std::map<RequestFingerprint, SuspectedCrashes> m_suspects;
};

}  // namespace tackpick::quarantine
