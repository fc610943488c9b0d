/// \file
/// A machine with one of our processes: the very modules of tackpickd, driven in virtual time.
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

/// How a caller's request came back.
struct CallerReply {
  std::optional<checking::ReceivedAnswer> answer;
  std::optional<gateway::RejectRequest> refusal;
  bool connectionLost = false;  ///< neither answer nor refusal
  bool byPlannedStop = false;
};

/// What an operator reads: a settings node's revision and the counter kept in it.
struct CounterReading {
  base::Revision revision;
  std::int64_t counter = 0;
};

/// One role a machine, as a site of some size has it. kill(), freeze() and so on may come between
/// any two events; kill() may also come between the sync and the sending of a turn's messages.
class NodeHost {
 public:
  NodeHost(Environment& environment, NodeRole role, std::uint32_t number, std::string zone);

  // Faults.
  void initialise();  ///< first start of a new cluster
  void kill();
  void restart();  ///< with the data folder as the crash left it
  /// The disk is lost; a new machine takes the place, under a new identity. Returns it.
  base::NodeId replace();
  void freeze();
  void thaw();
  void beginPlannedStop();
  SimulatedDisk& disk() { return disk_; }

  // Arrivals from the network; each names the run it is meant for.
  /// Runs `action` in the process unless that run has ended; later when it is frozen.
  void post(std::uint64_t epoch, const EventLoop::Action& action);
  void receive(base::NodeId from, const transport::InternalMessage& message);
  void onChunk(const engine::Chunk& chunk);
  void onAttemptEnd(const engine::AttemptEnd& end);
  void onReport(const engine::EngineStatus& status,
                const std::vector<engine::SequencedCacheEvent>& events);
  void onCommandReply(const engine::EngineCommandReply& reply);

  // Clients; the handlers run on the client's side.
  using CallerHandler = std::function<void(const CallerReply&)>;
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
  [[nodiscard]] bool isFrozen() const { return frozen_; }
  [[nodiscard]] bool isStopping() const { return stopping_; }
  [[nodiscard]] gateway::Gateway* gateway() { return gateway_.get(); }
  [[nodiscard]] control::Controller* controller() { return controller_.get(); }
  /// The replica of a controller or ledger; null for gateways and when down.
  [[nodiscard]] consensus::Replica* replica();
  /// Adds the gateway's tokens to the figures; call once, at the end of its run.
  void noteTokens();
  /// The counter in this gateway's view.
  [[nodiscard]] std::int64_t counterInView() const;

 private:
  [[nodiscard]] base::TimePoint localNow() const;
  [[nodiscard]] base::GroupId group() const;
  void open(bool initialMembership);
  void openGateway();
  void end(bool planned);
  void deliver(const EventLoop::Action& action);
  void tick();
  void turn();
  /// Notes when two replicas of a group lead in one term, or hold the leader's lease at once.
  void checkLease();
  /// This role's meter while the run is metered.
  [[nodiscard]] RoleCost* meter();
  void sendAll(const transport::Outbox& outbox);
  void execute(const gateway::Action& action);
  void startAttempt(const gateway::StartAttempt& start);
  void loseAttempt(base::AttemptId attempt, base::Verdict verdict, base::Duration delay);
  void reply(base::CallerId caller, CallerReply reply);
  void noteFirstToken(base::CallerId caller);
  void sendLoadCommand(const engine::OutgoingEngineCommand& order);
  void readMachineList();
  void finishPlannedStop();
  void toClient(EventLoop::Action action);

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

  std::uint64_t epoch_ = 0;
  bool running_ = false;
  bool frozen_ = false;
  base::TimePoint m_frozenAt{};
  base::Duration m_clockLag{0};  ///< of a clock that stood still while its machine was suspended
  bool stopping_ = false;
  bool dies_in_turn_ = false;  ///< the next turn is the last: some of its messages go out
  base::TimePoint stop_began_at_{};
  base::TimePoint list_read_at_{};
  std::deque<EventLoop::Action> backlog_;  ///< arrivals while frozen
  std::uint64_t next_caller_ = 0;
  std::map<base::CallerId, CallerHandler> callers_;
  std::map<base::CallerId, checking::ReceivedAnswer> streamed_;
  std::map<base::CallerId, base::TimePoint> arrived_at_;  ///< callers without a token yet
};

}  // namespace tackpick::simulation
