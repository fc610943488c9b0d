/// \file
/// Connection of a process to the cluster: registers it with the controllers, receives views and
/// configurations, and sends calls to the controllers and ledgers.
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

/// Settings of a ClusterMember.
struct ClusterMemberSettings {
  base::GroupId directoryGroup;
  base::GroupId ledgerGroup;
  std::vector<base::NodeId> seeds;  ///< controllers to contact first
  /// Maximum time for which the controllers delay the answer to a watch while nothing changes.
  base::Duration watchMaxWait = base::milliseconds(500);
  /// Time after which an unanswered watch is sent again.
  base::Duration watchResendInterval = base::milliseconds(800);
  /// Time after which an unanswered watch ends.
  base::Duration watchTimeout = base::milliseconds(5000);
};

/// Watches the controllers for changes, reports the state of this process with each watch, and
/// sends its calls to the replication groups. Deterministic; owned by one thread.
class ClusterMember {
 public:
  ClusterMember(directory::NodeRecord self, ClusterMemberSettings settings, base::CallId firstCall);

  using ViewHandler = std::function<void(const directory::DirectoryView& update)>;
  /// Sets the handler of received views, full or incremental. Instances are not kept here, since
  /// merging the changes of 10,000 instances takes 20 ms of a core for each update, and a small
  /// gateway has an eighth of a core. Handlers keep the instances they need.
  void onView(ViewHandler handler) { on_view_ = std::move(handler); }
  using ConfigurationHandler = std::function<void(const directory::Configuration& newest)>;
  /// Sets the handler of newer configurations. It is called before the handler of the view.
  void onConfiguration(ConfigurationHandler handler) { m_onConfiguration = std::move(handler); }
  /// Returns the membership of the ledgers' group on its leader, std::nullopt elsewhere.
  using MembershipSource = std::function<std::optional<consensus::Membership>()>;
  void setLedgerMembershipSource(MembershipSource source) {
    m_ledgerMembershipSource = std::move(source);
  }

  /// Returns the recent demand at this gateway by model.
  using RecentWorkSource = std::function<std::map<std::string, double>()>;
  void setRecentWorkSource(RecentWorkSource source) { m_recentWorkSource = std::move(source); }

  /// Returns the open jobs on the leader of the ledgers, std::nullopt elsewhere.
  using OpenJobsSource = std::function<std::optional<jobs::OpenJobsByModel>()>;
  void setOpenJobsSource(OpenJobsSource source) { m_openJobsSource = std::move(source); }

  /// Returns the usage that this gateway counted.
  using UsageSource = std::function<duties::GatewayUsage()>;
  void setUsageSource(UsageSource source) { m_usageSource = std::move(source); }
  /// Sets the clock whose time is reported to the controllers.
  void setClock(const base::WallTimeSource& clock) { clock_ = &clock; }

  void onResponse(const transport::CommandResponse& response, base::TimePoint now);
  /// Must be called when the connection to a node is lost. Its calls are sent again soon to another
  /// node.
  void onPeerLost(std::uint32_t number);
  void tick(base::TimePoint now);

  /// Receives the reply, or nullptr if there was none by the deadline, in which case the request
  /// may still take effect.
  using DirectoryCallback = std::function<void(const directory::DirectoryReply* reply)>;
  void call(const directory::DirectoryRequest& request, base::Duration deadline,
            base::TimePoint now, DirectoryCallback callback);
  using JobCallback = std::function<void(const jobs::JobReply* reply)>;
  void call(const jobs::JobRequest& request, base::Duration deadline, base::TimePoint now,
            JobCallback callback);
  /// Calls a specific ledger, whether or not it is the leader.
  void callReplica(base::NodeId ledger, const jobs::JobRequest& request, base::Duration deadline,
                   base::TimePoint now, JobCallback callback);

  /// Returns the messages to be sent.
  [[nodiscard]] transport::Outbox takeMessages() { return std::exchange(outbox_, {}); }
  /// Returns the latest view, without instances.
  [[nodiscard]] const directory::DirectoryView& view() const { return view_; }
  /// Requests a full view with the next watch, for handlers that have not received the instances.
  void requestFullView() { view_.revision = 0; }
  /// Returns the most recently seen voter of the ledgers' group in this node's zone, an invalid id
  /// if none is reachable. Reads must go to a voter, since other ledgers hold no batches: of 80
  /// ledgers, five are voters.
  [[nodiscard]] base::NodeId zoneLedger() const;
  /// Returns the latest configuration, which has version 0 until one is received.
  [[nodiscard]] const directory::Configuration& configuration() const { return configuration_; }
  /// Returns when the last answered watch was sent: configuration() is known to have been the
  /// latest at that time. The time at which the answer arrived does not prove this, because the
  /// answer may have been delayed.
  [[nodiscard]] std::optional<base::TimePoint> configurationConfirmedAt() const {
    return m_configurationConfirmedAt;
  }
  /// Returns when the last view was received from the controllers.
  [[nodiscard]] std::optional<base::TimePoint> lastContactAt() const { return m_lastContactAt; }

 private:
  void watch(base::TimePoint now);
  void callLedgers(consensus::GroupClient& client, const jobs::JobRequest& request,
                   consensus::CallTimeouts timeouts, base::TimePoint now, JobCallback callback);
  void applyUpdate(directory::DirectoryView update, base::TimePoint now);
  /// Returns the responsive voters of the ledgers' group, which can name the leader; all responsive
  /// ledgers if no voter is responsive.
  [[nodiscard]] std::vector<base::NodeId> ledgerTargets();
  /// Stores the view without its instances and configuration.
  void storeView(directory::DirectoryView& update);

  const directory::NodeRecord self_;
  const ClusterMemberSettings settings_;
  consensus::GroupClient directory_;
  consensus::GroupClient ledgers_;
  consensus::GroupClient m_replicaClient;  ///< calls to a specific ledger
  bool m_watchInFlight = false;
  directory::DirectoryView view_;
  std::set<base::NodeId> ledger_voters_;  ///< last known voters
  directory::Configuration configuration_;
  std::optional<base::TimePoint> m_lastContactAt;
  std::optional<base::TimePoint> m_configurationConfirmedAt;
  ViewHandler on_view_;
  ConfigurationHandler m_onConfiguration;
  MembershipSource m_ledgerMembershipSource;
  RecentWorkSource m_recentWorkSource;
  OpenJobsSource m_openJobsSource;
  UsageSource m_usageSource;
  const base::WallTimeSource* clock_ = nullptr;  ///< nullptr: no time is reported
  transport::Outbox outbox_;
};

}  // namespace tackpick::cluster
