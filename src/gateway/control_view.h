/// \file
/// The configuration in force in one gateway, and its serving lease.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/settings_tree.h"
#include "transport/internal_messages.h"

namespace tackpick::gateway {

/// Knobs of ControlView.
struct ControlViewSettings {
  base::Incarnation incarnation;
  std::vector<base::NodeId> controllers;
  base::Duration watchInterval = base::milliseconds(400);
  int clockDriftPercent = 2;

  struct Mutants {
    bool serveWithoutLease = false;
    bool acceptOlderRevision = false;
  } mutants;
};

/// Watches the controllers. The revision only goes up. Serving is allowed only while the lease
/// runs, counted on this gateway's clock from the sending of the request that it answers, so a
/// gateway that was cut off or frozen stops by itself.
class ControlView {
 public:
  explicit ControlView(ControlViewSettings settings) : settings_(std::move(settings)) {}

  void tick(base::TimePoint now, transport::Outbox& outbox);
  /// Takes a response or push. Returns true when the configuration changed.
  bool onWatchResponse(base::NodeId from, const transport::WatchResponse& response,
                       base::TimePoint now, transport::Outbox& outbox);
  void onRedirect(base::NodeId from, const transport::WatchRedirect& redirect);
  /// Gives the lease back at a planned stop.
  void leave(base::TimePoint now, transport::Outbox& outbox);

  [[nodiscard]] bool canServe(base::TimePoint now) const {
    return now < lease_end_ || settings_.mutants.serveWithoutLease;
  }
  [[nodiscard]] base::Revision revision() const { return revision_; }
  [[nodiscard]] const control::SettingsTree& settings() const { return tree_; }
  [[nodiscard]] base::WeightsVersion publishedVersion(const std::string& model) const;
  /// The live credential with this token hash.
  [[nodiscard]] const control::CredentialRecord* credential(const std::string& tokenHash) const;

 private:
  void sendRequest(base::TimePoint now, transport::Outbox& outbox);
  bool applyDelta(const control::ControlDelta& delta);

  const ControlViewSettings settings_;
  base::Revision revision_;
  control::SettingsTree tree_;
  std::map<std::string, control::WeightsRecord> weights_;
  std::map<std::string, control::CredentialRecord> credentials_;

  base::NodeId leader_;
  std::size_t turn_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, base::TimePoint> sent_at_;
  base::TimePoint last_sent_at_{};
  base::TimePoint last_answer_at_{};
  base::TimePoint lease_end_{};
};

}  // namespace tackpick::gateway
