/// \file
/// Reads a job's results for a caller, from a replica in the same zone if that reduces traffic
/// between zones.
#pragma once

#include "base/identifiers.h"
#include "jobs/ledger_client.h"

namespace tackpick::jobs {

/// Interface to a replica that need not be the leader.
class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;

  /// Returns a ledger in the gateway's zone; invalid if there is none.
  [[nodiscard]] virtual base::NodeId localReplica() const = 0;
  virtual void fetch(base::NodeId ledger, const FetchResults& request, base::Duration deadline,
                     LedgerClient::Callback callback) = 0;
};

/// Reads the results of a job. The ledgers' leader returns small results itself; larger ones are
/// fetched from the local replica, at the positions that the leader announced. The result at a
/// position never changes. Deterministic; owned by one thread; must outlive its calls.
class ResultReader {
 public:
  ResultReader(LedgerClient& leader, ReplicaClient& replicas, const base::TimeSource& clock)
      : m_leader(leader), m_replicas(replicas), m_clock(clock) {}

  void read(const ReadJob& request, base::Duration deadline, LedgerClient::Callback callback);

 private:
  void fetch(ReadJob request, JobReply leaderReply, LedgerClient::Callback callback);
  [[nodiscard]] base::NodeId usableReplica() const;

  LedgerClient& m_leader;
  ReplicaClient& m_replicas;
  const base::TimeSource& m_clock;
  base::NodeId m_avoidedReplica;  ///< last replica that failed a fetch
  base::TimePoint m_avoidedUntil{};
};

}  // namespace tackpick::jobs
