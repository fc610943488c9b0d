/// \file
/// A small cluster under a crowd of clients, and what must hold for its processes.
#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "crowds/client_crowd.h"
#include "integration/fake_engine.h"
#include "integration/test_cluster.h"

namespace tackpick::test {

inline constexpr const char* kCrowdGateway = "127.0.3.1";
inline constexpr const char* kCrowdController = "127.0.1.1";
inline constexpr const char* kCrowdLedger = "127.0.2.1";

/// Declared resources by role and the configured limit for the bodies of callers.
struct CrowdSetting {
  DeclaredResources gateway{96, 600};
  DeclaredResources ledger{192, 600};
  DeclaredResources controller{128, 600};
  std::size_t bodyLimitBytes = std::size_t{16} << 20U;
};

/// Cluster of three controllers, three ledgers, a gateway and an engine. Watches the descriptors of
/// each process.
class CrowdCluster {
 public:
  explicit CrowdCluster(CrowdSetting setting = {});
  ~CrowdCluster();
  CrowdCluster(const CrowdCluster&) = delete;
  CrowdCluster& operator=(const CrowdCluster&) = delete;

  TestCluster& cluster() { return m_cluster; }
  [[nodiscard]] const runtime::Json& configuration() const { return m_configuration; }
  [[nodiscard]] std::size_t bodyLimitBytes() const { return m_setting.bodyLimitBytes; }
  /// Registers the engine, or renews its registration.
  void sendHeartbeat();
  /// Sends an ordinary request until it is answered.
  void expectOrdinaryRequestServed();
  /// Checks that every process lives and stayed within its declared resources.
  void expectWithinResources();

 private:
  [[nodiscard]] const DeclaredResources& resourcesOf(const Machine& machine) const;
  void watchDescriptors();

  const CrowdSetting m_setting;
  TestCluster m_cluster;
  FakeEngine m_engine;
  runtime::Json m_configuration;
  std::uint64_t m_sequence = 0;
  std::vector<std::string> m_addresses;
  std::map<std::string, std::size_t> m_maxDescriptors;  ///< written by m_watcher until it has ended
  std::atomic<bool> m_watching = true;
  std::thread m_watcher;
};

}  // namespace tackpick::test
