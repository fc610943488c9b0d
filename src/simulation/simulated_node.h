/// \file
/// A simulated machine that runs one process from the modules of tackpickd.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/controller.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"
#include "simulation/environment.h"
#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace tackpick::simulation {

enum class NodeRole : std::uint8_t { kController, kLedger, kGateway };

/// Result of a caller's request.
struct RequestOutcome {
  std::optional<checking::ReceivedResponse> response;
  std::optional<gateway::RejectRequest> rejection;
  bool connectionLost = false;  ///< neither a response nor a rejection arrived
  bool byGracefulShutdown = false;
};

/// Revision of the root settings node and the counter stored in it.
struct CounterReading {
  base::Revision revision;
  std::int64_t counter = 0;
};

/// Runs one role: controller, ledger or gateway. Faults occur between two events; kill() may also
/// take effect after the log was synced and before all messages of the event were sent.
class SimulatedNode {
 public:
  SimulatedNode(Environment& environment, NodeRole role, std::uint32_t number, std::string zone);

  // Faults.
  /// Starts the process for the first time, as a member of a new cluster.
  void bootstrap();
  void kill();
  void restart();  ///< starts the process with the existing data directory
  /// Replaces the node by one with an empty disk and a new node id. Returns the new id.
  base::NodeId replace();
  void suspend();
  void resume();
  void beginGracefulShutdown();
  SimulatedDisk& disk() { return disk_; }

  // Deliveries from the network.
  /// Runs `action` in the process, or defers it until resume() if the process is suspended. Does
  /// nothing if the process instance `epoch` has ended.
  void post(std::uint64_t epoch, const EventLoop::Callback& action);
  void receive(base::NodeId from, const transport::InternalMessage& message);
  void onChunk(const engine::Chunk& chunk);
  void onAttemptEnd(const engine::AttemptEnd& end);
  void onReport(const engine::EngineStatus& status,
                const std::vector<engine::SequencedCacheEvent>& events);
  void onCommandReply(const engine::EngineCommandReply& reply);

  // Requests of clients. The handlers run on the client machine; a null result or std::nullopt
  // means that there was no response.
  using CallerHandler = std::function<void(const RequestOutcome&)>;
  void request(gateway::CallerRequest request, CallerHandler handler);
  using ResultHandler = std::function<void(const base::Bytes*)>;
  void callLedger(const base::BatchId& batch, transport::CommandKind kind, base::Bytes payload,
                  ResultHandler handler);
  void callControllers(base::Bytes payload, ResultHandler handler);
  using ChangeHandler = std::function<void(const control::ChangeOutcome*)>;
  void submitChange(const control::ControlCommand& command, ChangeHandler handler);
  using ReadHandler = std::function<void(std::optional<CounterReading>)>;
  void readCounter(ReadHandler handler);

  [[nodiscard]] NodeRole role() const { return role_; }
  [[nodiscard]] std::uint32_t number() const { return number_; }
  [[nodiscard]] base::NodeId id() const { return id_; }
  [[nodiscard]] MachineId machine() const { return machine_; }
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  [[nodiscard]] bool isRunning() const { return running_; }
  [[nodiscard]] bool isSuspended() const { return m_suspended; }
  [[nodiscard]] bool isShuttingDown() const { return m_shuttingDown; }
  [[nodiscard]] gateway::Gateway* gateway() { return gateway_.get(); }
  [[nodiscard]] control::Controller* controller() { return controller_.get(); }
  /// Returns the replica of a controller or ledger, or null for gateways and stopped nodes.
  [[nodiscard]] consensus::Replica* replica();
  /// Adds the gateway's token counts to the statistics. Call once per process instance, at its end.
  void recordTokenCounts();
  /// Returns the operators' counter in this gateway's view of the settings.
  [[nodiscard]] std::int64_t viewedCounter() const;

 private:
  [[nodiscard]] base::TimePoint localNow() const;
  [[nodiscard]] base::GroupId group() const;
  void startProcess(bool initialMembership);
  void startGateway();
  void terminate(bool graceful);
  void runInProcess(const EventLoop::Callback& action);
  void tick();
  /// Sends the messages, commands and actions that the modules have produced.
  void flushOutputs();
  /// Reports a violation if two replicas of a group lead in one term or hold the leader's lease at
  /// the same time.
  void checkLeaderUniqueness();
  /// Returns the costs of this role, or null if costs are not measured.
  [[nodiscard]] RoleCost* roleCost();
  void sendMessages(const transport::Outbox& outbox);
  void execute(const gateway::Action& action);
  void startAttempt(const gateway::StartAttempt& start);
  /// Ends an attempt after `delay` as if its connection was lost.
  void failAttempt(base::AttemptId attempt, base::Verdict verdict, base::Duration delay);
  void reply(base::CallerId caller, RequestOutcome outcome);
  void recordFirstToken(base::CallerId caller);
  void sendLoadCommand(const engine::OutgoingEngineCommand& addressed);
  void readMachineList();
  void finishGracefulShutdown();
  void sendToClient(EventLoop::Callback action);

  Environment& environment_;
  const NodeRole role_;
  const std::uint32_t number_;
  const MachineId machine_;
  const std::string zone_;
  base::NodeId id_;
  double clock_rate_ = 1.0;

  SimulatedDisk disk_;
  std::unique_ptr<base::SeededRandom> random_;
  std::unique_ptr<storage::SegmentedLog> log_;
  std::unique_ptr<control::Controller> controller_;
  std::unique_ptr<ledger::Ledger> ledger_;
  std::unique_ptr<gateway::Gateway> gateway_;

  std::uint64_t epoch_ = 0;  ///< number of the process instance; changes at its start and end
  bool running_ = false;
  bool m_suspended = false;
  base::TimePoint m_suspendedAt{};
  base::Duration m_clockLag{0};  ///< time that the clock has missed during suspensions
  bool m_shuttingDown = false;
  /// Whether the process crashes after it has sent a part of the pending outputs.
  bool m_crashDuringFlush = false;
  base::TimePoint m_shutdownStartedAt{};
  base::TimePoint m_machineListReadAt{};
  std::deque<EventLoop::Callback> backlog_;  ///< deliveries received while suspended
  std::uint64_t next_caller_ = 0;
  std::map<base::CallerId, CallerHandler> m_callerHandlers;
  std::map<base::CallerId, checking::ReceivedResponse> m_streamedResponses;
  /// Arrival of streamed requests whose first token has not been sent.
  std::map<base::CallerId, base::TimePoint> arrived_at_;
};

}  // namespace tackpick::simulation
