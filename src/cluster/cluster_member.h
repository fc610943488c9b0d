/// \file
/// The part of every process that keeps in touch with the controllers: reports itself, learns what
/// changed, and carries calls to the controllers and ledgers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "consensus/group_client.h"
#include "directory/directory_messages.h"
#include "jobs/job_messages.h"

namespace tackpick::cluster {

/// Knobs of a ClusterMember.
struct ClusterMemberSettings {
  base::GroupId directoryGroup;
  base::GroupId ledgerGroup;
  std::vector<base::NodeId> seeds;
  /// The controllers hold a watch back so long when nothing changed.
  base::Duration watchHold = base::milliseconds(500);
  base::Duration watchResend = base::milliseconds(800);
  base::Duration watchDeadline = base::milliseconds(5000);
};

/// Deterministic; owned by one thread.
class ClusterMember {
 public:
  ClusterMember(directory::NodeRecord self, ClusterMemberSettings settings, base::CallId firstCall);

  using ViewHandler = std::function<void(const directory::DirectoryView& news)>;
  /// Called with each view that arrives, whole or changes to the one before. Whoever needs the
  /// instances keeps those that it needs: joining the changes of 10,000 anew for each news took 20
  /// ms of a core, of which a small gateway has an eighth.
  void onView(ViewHandler handler) { on_view_ = std::move(handler); }
  using ConfigurationHandler = std::function<void(const directory::Configuration& newest)>;
  /// Called with each configuration that is newer than the one before, before the view's handler.
  void onConfiguration(ConfigurationHandler handler) { m_onConfiguration = std::move(handler); }
  /// What the ledgers' leader reports of its group; nothing elsewhere.
  using MembershipSource = std::function<std::optional<consensus::Membership>()>;
  void setLedgerMembershipSource(MembershipSource source) {
    ledger_membership_ = std::move(source);
  }

  /// This gateway's recent work by model.
  using WorkSource = std::function<std::map<std::string, double>()>;
  void setRecentWorkSource(WorkSource source) { work_ = std::move(source); }

  /// What is open, where this is the ledgers' leader; nothing elsewhere.
  using OpenWorkSource = std::function<std::optional<jobs::OpenJobsByModel>()>;
  void setOpenJobsSource(OpenWorkSource source) { m_openJobs = std::move(source); }

  /// What this gateway has counted.
  using UsageSource = std::function<duties::GatewayUsage()>;
  void setUsageSource(UsageSource source) { usage_ = std::move(source); }
  /// What this machine's clock shows.
  void setClock(const base::WallTimeSource& clock) { clock_ = &clock; }

  void onResponse(const transport::CommandResponse& response, base::TimePoint now);
  /// The connection to a node broke: calls sent there are sent again soon, to another.
  void onPeerLost(std::uint32_t number);
  void tick(base::TimePoint now);

  /// Gets the reply, or null when there was none by the deadline; it may then still take effect.
  using DirectoryCallback = std::function<void(const directory::DirectoryReply* reply)>;
  void call(const directory::DirectoryRequest& request, base::Duration deadline,
            base::TimePoint now, DirectoryCallback callback);
  using JobCallback = std::function<void(const jobs::JobReply* reply)>;
  void call(const jobs::JobRequest& request, base::Duration deadline, base::TimePoint now,
            JobCallback callback);
  /// Asks one ledger, whether it leads or not.
  void callReplica(base::NodeId ledger, const jobs::JobRequest& request, base::Duration deadline,
                   base::TimePoint now, JobCallback callback);

  /// Messages to send.
  [[nodiscard]] transport::Outbox takeMessages() { return std::exchange(outbox_, {}); }
  /// The newest view, without instances.
  [[nodiscard]] const directory::DirectoryView& view() const { return view_; }
  /// The next news are whole: somebody has missed the instances so far.
  void requestFullView() { view_.revision = 0; }
  /// A ledger in this node's zone that keeps batches; invalid when none is heard there. Of 80
  /// ledgers five do, and reads that go to another one are answered twice.
  [[nodiscard]] base::NodeId zoneLedger() const;
  /// The newest configuration known; version 0 before the first.
  [[nodiscard]] const directory::Configuration& configuration() const { return configuration_; }
  /// Up to when configuration() is known to have been the newest: a leader of the controllers
  /// answered a watch that was sent then. The answer's arrival would say less, since it may have
  /// been long on its way, or waited for a process that stood still.
  [[nodiscard]] std::optional<base::TimePoint> confirmedAt() const { return m_confirmedAt; }
  /// When the controllers were last heard.
  [[nodiscard]] std::optional<base::TimePoint> lastContactAt() const { return m_lastContactAt; }

 private:
  void watch(base::TimePoint now);
  void callLedgers(consensus::GroupClient& client, const jobs::JobRequest& request,
                   consensus::CallTimes times, base::TimePoint now, JobCallback callback);
  void accept(directory::DirectoryView news, base::TimePoint now);
  /// The voters of the ledgers' group that are heard: the others know no leader, and to ask one
  /// after the other takes seconds where there are many. All that are heard while no voter is.
  [[nodiscard]] std::vector<base::NodeId> ledgersToAsk();
  /// Takes in all but the instances.
  void keep(directory::DirectoryView& news);

  const directory::NodeRecord self_;
  const ClusterMemberSettings settings_;
  consensus::GroupClient directory_;
  consensus::GroupClient ledgers_;
  consensus::GroupClient nearby_ledger_;  ///< calls that any replica may answer
  bool watching_ = false;
  directory::DirectoryView view_;
  std::set<base::NodeId> ledger_voters_;  ///< the last that were told
  directory::Configuration configuration_;
  std::optional<base::TimePoint> m_lastContactAt;
  std::optional<base::TimePoint> m_confirmedAt;
  ViewHandler on_view_;
  ConfigurationHandler m_onConfiguration;
  MembershipSource ledger_membership_;
  WorkSource work_;
  OpenWorkSource m_openJobs;
  UsageSource usage_;
  const base::WallTimeSource* clock_ = nullptr;  ///< null: it is not told
  transport::Outbox outbox_;
};

}  // namespace tackpick::cluster
