/// \file
/// Reads a job's results for a caller, from a near replica where that spares bytes between zones.
#pragma once

#include "base/identifiers.h"
#include "jobs/ledger_client.h"

namespace tackpick::jobs {

/// How a gateway reaches a replica that need not lead.
class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;

  /// A ledger in this gateway's zone; invalid when there is none.
  [[nodiscard]] virtual base::NodeId nearby() const = 0;
  virtual void fetch(base::NodeId ledger, const FetchResults& request, base::Duration deadline,
                     LedgerClient::Callback callback) = 0;
};

/// The ledgers' leader says which positions exist, and only it says that a job does not; the near
/// replica gives the results at these positions, which never change. Deterministic; owned by one
/// thread; must outlive its calls.
class ResultReader {
 public:
  ResultReader(LedgerClient& leader, ReplicaClient& replicas, const base::TimeSource& clock)
      : m_leader(leader), m_replicas(replicas), m_clock(clock) {}

  void read(const ReadJob& request, base::Duration deadline, LedgerClient::Callback callback);

 private:
  void fetch(ReadJob request, JobReply announced, LedgerClient::Callback callback);
  [[nodiscard]] base::NodeId usableReplica() const;

  LedgerClient& m_leader;
  ReplicaClient& m_replicas;
  const base::TimeSource& m_clock;
  base::NodeId m_avoided;  ///< did not have what was asked of it
  base::TimePoint m_avoidedUntil{};
};

}  // namespace tackpick::jobs
