/// \file
/// Keeps requests that end the instances that run them from ending further ones.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "directory/directory_messages.h"
#include "quarantine/request_gate.h"

namespace tackpick::node {

class Node;

/// Thin: RequestGate decides; this class tells the controllers what this gateway sees, and asks
/// them for trials. A limit that each gateway kept for itself, or for one try, would be no limit:
/// callers come again, under another id and at another gateway.
class RequestGuard {
 public:
  /// Whether a run that nobody waits for on a connection may begin now.
  enum class RunAdmission : std::uint8_t {
    kRun,
    kTrial,  ///< once, and at an instance where little else runs
    kWait,   ///< it is held: ask again soon
  };

  explicit RequestGuard(Node& node) : m_node(node) {}

  void onView(const directory::DirectoryView& view);
  void tick();

  /// Nothing is known of any request: no fingerprint needs to be made.
  [[nodiscard]] bool idle() const { return m_gate.idle(); }
  [[nodiscard]] quarantine::RequestFingerprint fingerprint(
      const quarantine::RequestIdentity& request) const;
  [[nodiscard]] quarantine::Admission admit(const quarantine::RequestFingerprint& request) const;
  /// Instances have ended under it: in an earlier try it has run.
  [[nodiscard]] bool isSuspect(const quarantine::RequestFingerprint& request) const;
  /// How long a caller of a held request should wait.
  [[nodiscard]] base::Duration untilTrial(const quarantine::RequestFingerprint& request) const;
  /// Asks for the trial that is due. The callback gets true when this gateway may send the request
  /// once; it is called later.
  void askTrial(const quarantine::RequestFingerprint& request,
                std::function<void(bool granted)> callback);

  /// The same for runs that can wait: asks for a trial that is due and tells it in a later call.
  [[nodiscard]] RunAdmission admitRun(const quarantine::RequestFingerprint& request);

  /// A run, sent at `sentAt`, broke off and may have begun. `id`: of this try, for the log.
  void onBroken(const quarantine::Crash& crash, const std::string& id, base::TimePoint sentAt);
  /// A run that was sent to the instance at `sentAt` is answered.
  void onAnswered(const std::string& instance, base::TimePoint sentAt);
  /// An instance has answered the request whole. Tells the controllers where that clears it.
  void onBorne(const quarantine::RequestFingerprint& request);

 private:
  void tell();
  void logHolds(const quarantine::HoldChanges& changes) const;

  Node& m_node;
  quarantine::RequestGate m_gate;
  /// Trials that admitRun() has asked for; true: granted, and not used yet.
  std::map<quarantine::RequestFingerprint, bool> m_trials;
  bool m_telling = false;
  std::uint64_t m_toldTerm = 0;  ///< of the leader that knows this gateway's crashes
};

}  // namespace tackpick::node
