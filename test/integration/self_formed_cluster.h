/// \file
/// A cluster that forms itself, as real processes on loopback addresses of their own.
#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "integration/process.h"
#include "runtime/json.h"

namespace tackpick::test {

/// What a cluster has at its start.
struct ClusterLayout {
  int controllers = 3;
  int ledgers = 3;
  int gateways = 1;
  int losses = 1;                  ///< machines with disks that may be lost at once
  std::uint16_t dutyPlatform = 0;  ///< port of a platform that wants usage reports; zero: none
};

/// One machine; without a process it is down, or was taken away.
struct Machine {
  std::string address;
  std::string role;
  std::unique_ptr<Process> process;
  std::size_t starts = 0;
};

/// Controllers stand at 127.0.1.x, ledgers at 127.0.2.x, gateways at 127.0.3.x.
class SelfFormedCluster {
 public:
  explicit SelfFormedCluster(ClusterLayout layout = {});
  ~SelfFormedCluster();
  SelfFormedCluster(const SelfFormedCluster&) = delete;
  SelfFormedCluster& operator=(const SelfFormedCluster&) = delete;

  void start(Machine& machine, bool bootstrap);
  /// The machine loses its disk and comes back at its address.
  void wipe(Machine& machine);
  /// The machine is taken away for good; an empty one comes at an address that nobody had. Returns
  /// that address.
  std::string replace(const std::string& address);
  Machine& machine(const std::string& address);
  /// Those that have not been taken away, by their net (`127.0.1.` and so on).
  [[nodiscard]] std::vector<std::string> addresses(const std::string& net) const;
  /// Where the machine keeps its data.
  [[nodiscard]] std::filesystem::path dataFolder(const std::string& address) const {
    return m_folder / address;
  }
  [[nodiscard]] std::string controlUrl(const std::string& address, const std::string& path) const {
    return "http://" + address + ":" + std::to_string(m_httpPort) + path;
  }
  [[nodiscard]] std::string gatewayUrl(const std::string& address, const std::string& path) const {
    return controlUrl(address, path);
  }
  /// Calls a controller until one gives a clear answer.
  HttpAnswer control(const std::string& method, const std::string& path, const runtime::Json& body);
  /// Calls the first gateway.
  HttpAnswer gateway(const std::string& method, const std::string& path,
                     const std::string& body = "", const std::string& id = "",
                     std::map<std::string, std::string> headers = {});
  /// The same with a tenant's key.
  HttpAnswer gatewayAs(const std::string& key, const std::string& method, const std::string& path,
                       const std::string& body = "", const std::string& id = "");
  [[nodiscard]] int readiness() const;
  /// What the machine tells scrapers.
  [[nodiscard]] std::string figures(const std::string& address) const;
  /// True when a leader of that net hears as many voters as are wanted, and has no other.
  [[nodiscard]] bool isWhole(const std::string& net) const;
  /// Lines of a machine's log that hold `text`.
  [[nodiscard]] std::size_t logged(const std::string& address, const std::string& text) const;
  /// True once the machine's process has said that it serves.
  [[nodiscard]] bool hasStarted(const Machine& machine) const {
    return logged(machine.address, "process_started") == machine.starts;
  }
  /// The address of the machine of that net that leads its group.
  std::string leader(const std::string& net);

 private:
  void add(const std::string& address, const std::string& role);
  [[nodiscard]] std::string settingsOf(const Machine& machine, bool bootstrap) const;
  /// Control interfaces of three controllers that have not been taken away.
  [[nodiscard]] std::string seeds() const;

  const ClusterLayout m_layout;
  const std::filesystem::path m_folder;
  const std::uint16_t m_internalPort;
  const std::uint16_t m_httpPort;
  const std::uint16_t m_readinessPort;
  const std::uint16_t m_metricsPort;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::map<std::string, int> m_lastNumber;  ///< by net: the highest that was given
  std::size_t m_turn = 0;
};

/// One route for batches.
[[nodiscard]] runtime::Json batchConfiguration(std::uint64_t version);
/// The same with a route for plain requests and the tenants' keys.
[[nodiscard]] runtime::Json tenantConfiguration(std::uint64_t version,
                                                const runtime::Json& tenants);
/// A batch whose items are each `ab0` to `ab4` when whole.
[[nodiscard]] std::string batch(int items);

}  // namespace tackpick::test
