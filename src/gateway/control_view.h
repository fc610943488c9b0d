/// \file
/// Configuration in force in one gateway, and its serving lease.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/settings_tree.h"
#include "transport/internal_messages.h"

namespace tackpick::gateway {

/// Settings of ControlView.
struct ControlViewSettings {
  base::Incarnation incarnation;
  std::vector<base::NodeId> controllers;
  base::Duration watchInterval = base::milliseconds(400);
  int clockDriftPercent = 2;  ///< maximum clock drift; shortens the lease

  struct Mutants {
    bool serveWithoutLease = false;
    bool acceptStaleRevision = false;  ///< apply deltas that lead to an earlier revision
  } mutants;
};

/// Watches the controllers for configuration changes. The revision never decreases. The gateway may
/// serve only while its lease is valid. The lease starts when the watch request was sent, by the
/// clock of this gateway, so a partitioned or suspended gateway stops serving when the lease
/// expires.
class ControlView {
 public:
  explicit ControlView(ControlViewSettings settings) : settings_(std::move(settings)) {}

  /// Sends a watch request when the interval has passed; tries the next controller when the
  /// current one is unresponsive.
  void tick(base::TimePoint now, transport::Outbox& outbox);
  /// Applies a response or a push of a controller. Returns whether the configuration changed.
  bool onWatchResponse(base::NodeId from, const transport::WatchResponse& response,
                       base::TimePoint now, transport::Outbox& outbox);
  void onRedirect(base::NodeId from, const transport::WatchRedirect& redirect);
  /// Releases the serving lease after draining and notifies the controllers.
  void releaseLease(base::TimePoint now, transport::Outbox& outbox);

  [[nodiscard]] bool canServe(base::TimePoint now) const {
    return now < lease_end_ || settings_.mutants.serveWithoutLease;
  }
  [[nodiscard]] base::Revision revision() const { return revision_; }
  [[nodiscard]] const control::SettingsTree& settings() const { return m_settingsTree; }
  /// Returns the published weights version of a model; invalid if the model is unknown.
  [[nodiscard]] base::WeightsVersion publishedVersion(const std::string& model) const;
  /// Returns the credential with this token hash, or null if there is none or it was removed.
  [[nodiscard]] const control::CredentialRecord* credential(const std::string& tokenHash) const;

 private:
  void sendRequest(base::TimePoint now, transport::Outbox& outbox);
  /// Returns whether the revision changed. Ignores deltas that are stale or that leave a gap.
  bool applyDelta(const control::ControlDelta& delta);

  const ControlViewSettings settings_;
  base::Revision revision_;
  control::SettingsTree m_settingsTree;
  std::map<std::string, control::WeightsRecord> weights_;
  std::map<std::string, control::CredentialRecord> credentials_;

  base::NodeId leader_;
  std::size_t m_nextController =
      0;  ///< index modulo the number of controllers; used if no leader is known
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, base::TimePoint> m_requestSentAt;  ///< by sequence number
  base::TimePoint m_lastRequestAt{};
  base::TimePoint m_lastResponseAt{};
  base::TimePoint lease_end_{};
};

}  // namespace tackpick::gateway
