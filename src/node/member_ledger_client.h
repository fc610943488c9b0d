/// \file
/// Calls to the ledgers through this process's cluster membership.
#pragma once

#include <utility>

#include "jobs/ledger_client.h"
#include "jobs/result_reader.h"
#include "node/node.h"

namespace tackpick::node {

/// Implements the ledger interfaces of src/jobs with the ClusterMember of a Node.
class MemberLedgerClient final : public jobs::LedgerClient, public jobs::ReplicaClient {
 public:
  explicit MemberLedgerClient(Node& node) : m_node(node) {}

  void call(const jobs::JobRequest& request, base::Duration deadline, base::TimePoint now,
            Callback callback) override {
    m_node.clusterMember().call(request, deadline, now, std::move(callback));
    m_node.scheduleIteration();
  }

  [[nodiscard]] base::NodeId localReplica() const override {
    return m_node.clusterMember().zoneLedger();
  }

  void fetch(base::NodeId ledger, const jobs::FetchResults& request, base::Duration deadline,
             jobs::LedgerClient::Callback callback) override {
    m_node.clusterMember().callReplica(ledger, jobs::JobRequest{request}, deadline, m_node.now(),
                                       std::move(callback));
    m_node.scheduleIteration();
  }

 private:
  Node& m_node;
};

}  // namespace tackpick::node
