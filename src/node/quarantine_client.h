/// \file
/// A gateway's part of the quarantine of requests that crash instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "directory/directory_messages.h"
#include "quarantine/quarantine_gate.h"

namespace tackpick::node {

class Node;

/// Reports crashes to the controllers and requests trials from them; QuarantineGate decides. The
/// quarantine is shared by all gateways because callers retry with new request ids and at
/// other gateways.
class QuarantineClient {
 public:
  explicit QuarantineClient(Node& node) : m_node(node) {}

  void onView(const directory::DirectoryView& view);
  void tick();

  /// Whether no request is suspected or held, so that no fingerprint needs to be computed.
  [[nodiscard]] bool idle() const { return m_gate.idle(); }
  [[nodiscard]] quarantine::RequestFingerprint fingerprint(
      const quarantine::RequestIdentity& request) const;
  [[nodiscard]] quarantine::Admission admit(const quarantine::RequestFingerprint& request) const;
  /// Whether instances have crashed while they ran the request, so that it has run in an earlier
  /// attempt.
  [[nodiscard]] bool isSuspect(const quarantine::RequestFingerprint& request) const;
  /// Time after which a caller of a held request should retry.
  [[nodiscard]] base::Duration untilTrial(const quarantine::RequestFingerprint& request) const;
  /// Requests a trial. The callback is called asynchronously, with true if this gateway may send
  /// the request once.
  void requestTrial(const quarantine::RequestFingerprint& request,
                    std::function<void(bool granted)> callback);

  /// Records that the connection of a run sent at `sentAt` was lost and the request may have run.
  /// `id` is the id of the attempt, for the log.
  void onConnectionLost(const quarantine::Crash& crash, const std::string& id,
                        base::TimePoint sentAt);
  /// Records that the instance responded to a run sent at `sentAt`.
  void onAnswered(const std::string& instance, base::TimePoint sentAt);
  /// Records that an instance completed the request without crashing. Releases the request at the
  /// controllers if it was suspected.
  void onCompleted(const quarantine::RequestFingerprint& request);

 private:
  /// Reports newly confirmed crashes to the controllers.
  void reportCrashes();
  void logHolds(const quarantine::HoldChanges& changes) const;

  Node& m_node;
  quarantine::QuarantineGate m_gate;
  bool m_reporting = false;
  std::uint64_t m_reportedTerm = 0;  ///< term of the leader that has received the crashes
};

}  // namespace tackpick::node
