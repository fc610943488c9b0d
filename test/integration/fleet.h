/// \file
/// A whole fleet of real processes on loopback, with tackpick-faultproxy between every pair.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "integration/process.h"
#include "runtime/json.h"

namespace tackpick::test {

using runtime::Json;

/// A tackpickd process and where it listens.
struct Node {
  std::uint32_t number = 0;
  std::string role;
  std::string folder;
  std::uint16_t internalPort = 0;
  std::uint16_t httpPort = 0;
  std::unique_ptr<Process> process;

  [[nodiscard]] std::string url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(httpPort) + path;
  }
};

/// Three controllers, three ledgers, two gateways, four engines. Routes of the proxy are named
/// `A-B` for the link that node A dials to node B, and `engine-N` for the way to engine N.
class Fleet {
 public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void startNode(Node& node, const std::vector<std::string>& flags = {});
  void startEmulator();
  void stopEmulator() { emulator_->kill(); }
  /// Fault of a route: pass, cut, black_hole, swallow_requests, swallow_answers, reset_after.
  void setFault(const std::string& route, const std::string& fault, std::uint64_t bytes = 0);
  /// Sets the fault on both links between two nodes.
  void setFaultBetween(const Node& one, const Node& other, const std::string& fault);

  [[nodiscard]] std::vector<Node>& controllers() { return controllers_; }
  [[nodiscard]] std::vector<Node>& ledgers() { return ledgers_; }
  [[nodiscard]] std::vector<Node>& gateways() { return gateways_; }
  /// The controller that may answer, once there is one.
  [[nodiscard]] Node& leader();
  [[nodiscard]] Json status(const Node& controller) const;
  [[nodiscard]] std::string folderOf(const Node& node) const { return folder_ + "/" + node.folder; }

  // Operators.
  /// POST to the leader, repeated until it is answered with something else than 421 or 503.
  HttpAnswer control(const std::string& path, const Json& body);
  /// Sets a value on a settings node; returns the answer.
  HttpAnswer set(const std::string& path, const std::string& key, const Json& value);

  // Callers and trainers.
  [[nodiscard]] HttpAnswer complete(const Node& gateway, const Json& body,
                                    const std::string& key = "") const;
  /// Submits a batch of samples with the given lengths, repeated until it is accepted.
  void submitBatch(const std::string& name, const std::vector<std::uint32_t>& lengths,
                   std::uint64_t trainerVersion = 0);
  /// Reads and checks the whole batch; returns the oldest version among its samples.
  std::uint64_t readWholeBatch(const std::string& name, std::size_t samples);
  void publishWeights(std::uint64_t version);
  /// The emulator's record of what ran.
  [[nodiscard]] Json engineRecord() const;
  HttpAnswer emulatorAdmin(const std::string& path) const;

 private:
  Node makeNode(const std::string& role, std::uint32_t number);
  std::uint16_t addRoute(const std::string& name, std::uint16_t target);
  void writeSettings(const Node& node);
  HttpAnswer fromAnyGateway(HttpCall request);

  std::string folder_;
  std::uint16_t proxy_port_ = 0;
  std::uint16_t platform_port_ = 0;
  std::uint16_t emulator_admin_port_ = 0;
  std::vector<std::uint16_t> engine_ports_;
  std::vector<std::uint16_t> announced_ports_;
  std::unique_ptr<Process> proxy_;
  std::unique_ptr<Process> emulator_;
  std::vector<Node> controllers_;
  std::vector<Node> ledgers_;
  std::vector<Node> gateways_;
  std::uint64_t request_number_ = 0;
};

}  // namespace tackpick::test
