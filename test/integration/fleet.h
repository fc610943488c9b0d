/// \file
/// Fleet of real processes on loopback, with tackpick-faultproxy on every link.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "integration/process.h"
#include "runtime/json.h"

namespace tackpick::test {

using runtime::Json;

/// A tackpickd process, its ports and its folder.
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

/// Three controllers, three ledgers, two gateways and four engines. The proxy route for the link
/// from node A to node B is named `A-B`, the route to engine N `engine-N`.
class Fleet {
 public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void startNode(Node& node, const std::vector<std::string>& flags = {});
  void startEmulator();
  void stopEmulator() { m_emulator->kill(); }
  /// Sets the fault of a route: pass, cut, black_hole, swallow_requests, swallow_answers or
  /// reset_after (resets the connection after `bytes` bytes).
  void setFault(const std::string& route, const std::string& fault, std::uint64_t bytes = 0);
  /// Sets the fault on the links between two nodes in both directions.
  void setLinkFault(const Node& one, const Node& other, const std::string& fault);

  [[nodiscard]] std::vector<Node>& controllers() { return m_controllers; }
  [[nodiscard]] std::vector<Node>& ledgers() { return m_ledgers; }
  [[nodiscard]] std::vector<Node>& gateways() { return m_gateways; }
  /// Waits for a controller that can serve reads and returns it.
  [[nodiscard]] Node& leader();
  [[nodiscard]] Json controllerStatus(const Node& controller) const;
  [[nodiscard]] std::string directoryOf(const Node& node) const {
    return m_folder + "/" + node.folder;
  }

  // Operator calls.
  /// Posts to the controllers until one responds with a status other than 421 and 503.
  HttpResponse callController(const std::string& path, const Json& body);
  /// Sets a value at a path of the settings tree and returns the response.
  HttpResponse setSetting(const std::string& path, const std::string& key, const Json& value);

  // Caller and trainer calls.
  [[nodiscard]] HttpResponse requestCompletion(const Node& gateway, const Json& body,
                                               const std::string& key = "") const;
  /// Submits a batch of samples with the given lengths; retries until it is accepted.
  void submitBatch(const std::string& name, const std::vector<std::uint32_t>& lengths,
                   std::uint64_t trainerVersion = 0);
  /// Reads and checks all samples of a batch; returns the oldest version among them.
  std::uint64_t readFullBatch(const std::string& name, std::size_t samples);
  void publishWeights(std::uint64_t version);
  /// Returns the emulator's record of executed requests.
  [[nodiscard]] Json executionRecord() const;
  HttpResponse postToEmulator(const std::string& path) const;

 private:
  Node makeNode(const std::string& role, std::uint32_t number);
  std::uint16_t addRoute(const std::string& name, std::uint16_t target);
  void writeSettings(const Node& node);
  HttpResponse callAnyGateway(HttpRequest request);

  std::string m_folder;
  std::uint16_t m_proxyPort = 0;
  std::uint16_t m_platformPort = 0;
  std::uint16_t m_emulatorAdminPort = 0;
  std::vector<std::uint16_t> m_enginePorts;
  std::vector<std::uint16_t> m_advertisedPorts;
  std::unique_ptr<Process> m_proxy;
  std::unique_ptr<Process> m_emulator;
  std::vector<Node> m_controllers;
  std::vector<Node> m_ledgers;
  std::vector<Node> m_gateways;
  std::uint64_t m_lastRequestNumber = 0;
};

}  // namespace tackpick::test
