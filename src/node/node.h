/// \file
/// A process of a self-formed cluster: one role on one event loop.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "cluster/cluster_member.h"
#include "config/cluster_settings.h"
#include "directory/directory_role.h"
#include "edge/api_adapter.h"
#include "http/exchange_server.h"
#include "http/upstream_client.h"
#include "jobs/job_role.h"
#include "storage/disk_thread.h"
#include "storage/file_system.h"
#include "storage/segmented_log.h"
#include "telemetry/prometheus_metrics.h"
#include "transport/peer_network.h"

namespace tackpick::node {

class ControlServer;
class LeaderCalls;
struct LeaderCallResult;
class PlatformClient;
class GatewayServer;
class MetricsServer;
class OpenJobsSender;

/// Opens folders and ports and passes messages between the network and DirectoryRole, JobRole or
/// GatewayServer, which make the decisions. Single-threaded.
class Node {
 public:
  [[nodiscard]] static base::Result<std::unique_ptr<Node>> create(
      const config::ClusterSettings& settings, const edge::ApiAdapter& apiAdapter);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Runs until a planned stop is complete, or the disk fails. Returns the exit code.
  int run();
  /// Whether run() returned because a write failed.
  [[nodiscard]] bool diskFailed() const { return disk_failed_; }

  [[nodiscard]] asio::io_context& context() { return context_; }
  [[nodiscard]] base::TimePoint now() const { return clock_.now(); }
  [[nodiscard]] const base::TimeSource& clock() const { return clock_; }
  [[nodiscard]] const base::WallTimeSource& wallClock() const { return wall_clock_; }
  [[nodiscard]] base::Random& random() { return *random_; }
  [[nodiscard]] const config::ClusterSettings& settings() const { return settings_; }
  [[nodiscard]] const edge::ApiAdapter& apiAdapter() const { return m_apiAdapter; }
  [[nodiscard]] cluster::ClusterMember& clusterMember() { return *m_clusterMember; }
  /// The state of the directory. On controllers only.
  [[nodiscard]] const directory::DirectoryRole& directory() const { return *directory_; }
  [[nodiscard]] http::UpstreamClient& upstream() { return *upstream_; }
  /// Calls that only the leader may make. On controllers only.
  [[nodiscard]] LeaderCalls& leaderCalls() { return *m_leaderCalls; }
  [[nodiscard]] const transport::PeerNetwork& network() const { return *network_; }
  [[nodiscard]] telemetry::PrometheusMetrics& metrics() { return metrics_; }
  /// Sets the gauges of this process's role.
  void updateGauges();
  /// Schedules an iteration of the event loop in which the role syncs its log and messages are
  /// sent. Must be called after every event.
  void scheduleIteration();

 private:
  Node(config::ClusterSettings settings, const edge::ApiAdapter& apiAdapter);

  [[nodiscard]] base::Result<void> open();
  [[nodiscard]] base::Result<base::NodeId> openIdentity();
  [[nodiscard]] base::Result<void> openDirectory();
  /// Opens the ledger if its folder was initialised before.
  [[nodiscard]] base::Result<void> reopenLedger();
  [[nodiscard]] base::Result<void> openLedger(const std::set<base::NodeId>& initialVoters);
  [[nodiscard]] base::Result<void> openLog(const std::string& name, base::GroupId group,
                                           const std::set<base::NodeId>& initialVoters);
  [[nodiscard]] base::Result<void> openNetwork();
  [[nodiscard]] std::vector<base::NodeId> seedNodes() const;
  [[nodiscard]] bool isSeed() const;
  [[nodiscard]] directory::NodeRecord ownRecord() const;
  /// Creates the ClusterMember and connects it to the role.
  void createClusterMember();
  void onMessage(base::NodeId from, transport::InternalMessage message);
  void onPeerLost(std::uint32_t number);
  void onView(const directory::DirectoryView& view);
  void sendLoadCommand(const directory::LoadCommand& command);
  void onLoadCommandResult(const directory::LoadCommand& command, const LeaderCallResult& result);
  void updateWeightsGauges();
  void sendUsageReport(const duties::UsageReport& report);
  void sendScaleCall(const duties::ScaleCall& call);
  static void logCapacityDecisions(const std::vector<duties::CapacityDecision>& decisions);
  void updateCapacityGauges();
  /// Queries the weights versions of an engine.
  void queryVersions(const directory::InstanceRecord& engine);
  void sendAll(transport::Outbox outbox);
  void tick();
  /// One iteration of the event loop: syncs the role, sends its messages and makes its calls.
  void runIteration();
  /// Logs changes of the replica's state since the last call.
  void logStateChanges();
  void logReplicaChanges(const consensus::Replica& replica);
  void logGroupHealthChanges(const consensus::Replica& replica);
  /// The replica of this process's role; null if it has none.
  [[nodiscard]] const consensus::Replica* replica() const;
  /// Health of the group that this process leads; std::nullopt if it leads none.
  [[nodiscard]] std::optional<cluster::GroupHealth> groupHealth() const;
  void waitForSignal();
  void beginStop();
  [[nodiscard]] bool stopComplete() const;

  const config::ClusterSettings settings_;
  const edge::ApiAdapter& m_apiAdapter;
  asio::io_context context_;
  base::MonotonicTimeSource clock_;
  base::SystemWallTimeSource wall_clock_;
  telemetry::PrometheusMetrics metrics_;
  std::unique_ptr<base::Random> random_;
  base::NodeId self_;

  std::vector<std::unique_ptr<storage::FileSystem>> folders_;
  std::unique_ptr<storage::DiskThread> disk_thread_;
  std::unique_ptr<storage::SegmentedLog> log_;
  std::unique_ptr<directory::DirectoryRole> directory_;
  std::unique_ptr<jobs::JobRole> ledger_;
  std::unique_ptr<cluster::ClusterMember> m_clusterMember;
  std::unique_ptr<transport::PeerNetwork> network_;
  std::unique_ptr<http::UpstreamClient> upstream_;
  std::unique_ptr<LeaderCalls> m_leaderCalls;
  std::unique_ptr<PlatformClient> m_platformClient;
  std::unique_ptr<OpenJobsSender> m_openJobsSender;  ///< on ledgers only
  std::unique_ptr<ControlServer> m_controlServer;
  std::unique_ptr<GatewayServer> m_gatewayServer;
  std::unique_ptr<MetricsServer> m_metricsServer;

  base::Timer m_tickTimer;
  asio::signal_set signals_;
  bool m_iterationScheduled = false;
  bool stopping_ = false;
  base::TimePoint m_stopStartedAt{};
  bool failed_ = false;
  bool disk_failed_ = false;

  // State that was last logged, to log changes only.
  bool reported_leader_ = false;
  consensus::Membership m_reportedMembership;
  std::optional<cluster::GroupHealth> m_reportedHealth;
};

}  // namespace tackpick::node
