#include "crowds/crowd_cluster.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace tackpick::test {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kKilobytesPerMegabyte = 1000;

ClusterLayout layoutOf(const CrowdSetting& setting) {
  ClusterLayout layout;
  layout.resources = {
      {"gateway", setting.gateway}, {"ledger", setting.ledger}, {"controller", setting.controller}};
  return layout;
}

}  // namespace

CrowdCluster::CrowdCluster(CrowdSetting setting)
    : m_setting(setting),
      m_cluster(layoutOf(setting)),
      m_engine("i-1"),
      m_configuration(tenantConfiguration(2, runtime::Json::array())) {
  m_configuration["limits"]["bodyLimitBytes"] = setting.bodyLimitBytes;
  cr_assert_eq(m_cluster.callController("POST", "/Configuration.Replace", m_configuration).status,
               kOk);
  expectOrdinaryRequestServed();
  for (const char* subnet : {"127.0.1.", "127.0.2.", "127.0.3."}) {
    const std::vector<std::string> addresses = m_cluster.addresses(subnet);
    m_addresses.insert(m_addresses.end(), addresses.begin(), addresses.end());
  }
  m_watcher = std::thread([this] { watchDescriptors(); });
}

CrowdCluster::~CrowdCluster() {
  m_watching = false;
  if (m_watcher.joinable()) {
    m_watcher.join();
  }
}

void CrowdCluster::watchDescriptors() {
  constexpr auto kInterval = std::chrono::milliseconds(20);
  while (m_watching) {
    for (const std::string& address : m_addresses) {
      const std::size_t open = m_cluster.machine(address).process->openDescriptors();
      m_maxDescriptors[address] = std::max(m_maxDescriptors[address], open);
    }
    std::this_thread::sleep_for(kInterval);
  }
}

void CrowdCluster::sendHeartbeat() {
  (void)m_cluster.callController("POST", "/Instances.Heartbeat/" + m_engine.id(),
                                 m_engine.heartbeat(++m_sequence));
}

void CrowdCluster::expectOrdinaryRequestServed() {
  int attempt = 0;
  waitUntil(
      [&] {
        sendHeartbeat();
        const std::string id = "ordinary-" + std::to_string(++attempt);
        return m_cluster.callGateway("POST", "/q/1", "hello", id).status == kOk;
      },
      "an ordinary request is served");
}

const DeclaredResources& CrowdCluster::resourcesOf(const Machine& machine) const {
  if (machine.role == "gateway") {
    return m_setting.gateway;
  }
  return machine.role == "ledger" ? m_setting.ledger : m_setting.controller;
}

void CrowdCluster::expectWithinResources() {
  m_watching = false;
  m_watcher.join();
  for (const std::string& address : m_addresses) {
    Machine& machine = m_cluster.machine(address);
    const DeclaredResources& declared = resourcesOf(machine);
    cr_expect_not(machine.process->hasExited(), "%s ended", address.c_str());
    const std::size_t peak = machine.process->peakKilobytes();
    cr_expect_leq(peak, declared.memoryMb * kKilobytesPerMegabyte, "%s used %zu KB of %u MB",
                  address.c_str(), peak, declared.memoryMb);
    cr_expect_leq(m_maxDescriptors[address], declared.fileDescriptors,
                  "%s opened %zu of %u descriptors", address.c_str(), m_maxDescriptors[address],
                  declared.fileDescriptors);
  }
}

}  // namespace tackpick::test
