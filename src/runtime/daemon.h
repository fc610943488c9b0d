/// \file
/// The tackpickd process of a static cluster.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/timer.h"
#include "config/process_settings.h"
#include "control/controller.h"
#include "gateway/gateway.h"
#include "http/client.h"
#include "http/server.h"
#include "ledger/ledger.h"
#include "runtime/engine_client.h"
#include "runtime/node_identity.h"
#include "storage/posix_file_system.h"
#include "storage/segmented_log.h"
#include "transport/peer_network.h"

namespace tackpick::runtime {

class CallerApi;
class ControlApi;

/// Runs the roles of a process on one event loop. Controller, Ledger and Gateway make all
/// decisions; this class transports their messages, commands and responses. Single-threaded.
class Daemon {
 public:
  /// Opens data directories and ports. Fails if a directory is rejected or a port is in use.
  [[nodiscard]] static base::Result<std::unique_ptr<Daemon>> create(
      const config::ProcessSettings& settings, DirectoryMode mode);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until a planned shutdown is complete. Returns the exit code.
  int run();

  // Functions for the HTTP interfaces.
  [[nodiscard]] const config::ProcessSettings& settings() const { return settings_; }
  [[nodiscard]] base::TimePoint now() const { return clock_.now(); }
  [[nodiscard]] gateway::Gateway* gateway() { return gateway_.get(); }
  [[nodiscard]] control::Controller* controller() { return controller_.get(); }
  [[nodiscard]] const std::vector<std::unique_ptr<ledger::Ledger>>& ledgers() const {
    return ledgers_;
  }
  [[nodiscard]] base::NodeId self() const { return self_; }
  [[nodiscard]] const transport::PeerNetwork& network() const { return *network_; }
  [[nodiscard]] http::ServerLoad serverLoad() const { return server_->load(); }
  /// Schedules an iteration, in which the roles sync and their actions are executed. Must be called
  /// after every event passed to a role.
  void scheduleIteration();
  /// Whether this process can serve its roles.
  [[nodiscard]] bool isReady() const;
  void beginShutdown();

 private:
  explicit Daemon(config::ProcessSettings settings);

  [[nodiscard]] base::Result<void> open(DirectoryMode mode);
  [[nodiscard]] base::Result<void> loadIdentity(DirectoryMode mode);
  [[nodiscard]] base::Result<consensus::LogStore*> openLog(const std::string& name,
                                                           const config::GroupSettings& group,
                                                           DirectoryMode mode);
  [[nodiscard]] base::Result<void> openRoles(DirectoryMode mode);
  [[nodiscard]] base::Result<void> openNetwork();
  void openGateway();
  void openHttp();
  void onMessage(base::NodeId from, const transport::InternalMessage& message);
  void onHttpRequest(const http::Request& request,
                     const std::shared_ptr<http::Responder>& responder);
  void tick();
  void runIteration();
  void execute(const gateway::Action& action);
  void sendAll(transport::Outbox outbox);
  void fetchMachineList();
  void logStateChanges();
  void finishShutdown();
  [[nodiscard]] EngineEvents makeEngineEvents();

  const config::ProcessSettings settings_;
  asio::io_context context_;
  base::MonotonicTimeSource clock_;
  std::unique_ptr<base::Random> random_;
  base::NodeId self_;
  base::Incarnation incarnation_;
  base::Bytes m_clusterKey;

  std::vector<std::unique_ptr<storage::FileSystem>> m_directories;
  std::vector<std::unique_ptr<storage::SegmentedLog>> logs_;
  std::unique_ptr<control::Controller> controller_;
  std::vector<std::unique_ptr<ledger::Ledger>> ledgers_;
  std::unique_ptr<gateway::Gateway> gateway_;

  std::unique_ptr<transport::PeerNetwork> network_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<EngineClient> m_engineClient;
  std::unique_ptr<CallerApi> caller_api_;
  std::unique_ptr<ControlApi> control_api_;
  std::unique_ptr<http::Server> server_;

  base::Timer m_tickTimer;
  asio::signal_set signals_;
  bool m_iterationScheduled = false;
  bool m_shuttingDown = false;
  base::TimePoint m_shutdownDeadline{};
  base::TimePoint m_machineListFetchedAt{};
  bool m_machineListFetchPending = false;
  base::Revision m_addressesRevision;

  // State that was last logged as events.
  bool m_loggedLeader = false;
  bool m_loggedLease = false;
  bool m_replicaFailed = false;
  base::Revision m_loggedRevision;
};

}  // namespace tackpick::runtime
