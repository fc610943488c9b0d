#include "jobs/result_reader.h"

#include <utility>

namespace tackpick::jobs {
namespace {

/// Timeout of a fetch from the local replica, which usually replies within a few milliseconds.
constexpr base::Duration kFetchDeadline = base::milliseconds(150);
constexpr base::Duration kFullReadDeadline = base::seconds(2);
/// Time for which a replica that lagged or did not reply is not used.
constexpr base::Duration kReplicaBackoff = base::seconds(1);

}  // namespace

base::NodeId ResultReader::usableReplica() const {
  const base::NodeId replica = m_replicas.localReplica();
  const bool avoided = replica == m_avoidedReplica && m_clock.now() < m_avoidedUntil;
  return avoided ? base::NodeId{} : replica;
}

void ResultReader::read(const ReadJob& request, base::Duration deadline,
                        LedgerClient::Callback callback) {
  ReadJob leaderRequest = request;
  leaderRequest.preferredReplica = usableReplica();
  m_leader.call(JobRequest{leaderRequest}, deadline, m_clock.now(),
                [this, leaderRequest, callback = std::move(callback)](const JobReply* reply) {
                  if (reply == nullptr || reply->replicaResults == 0) {
                    callback(reply);
                    return;
                  }
                  fetch(leaderRequest, *reply, callback);
                });
}

void ResultReader::fetch(ReadJob request, JobReply leaderReply, LedgerClient::Callback callback) {
  const FetchResults fetch{request.id, request.after, leaderReply.replicaResults};
  const base::NodeId replica = request.preferredReplica;
  m_replicas.fetch(replica, fetch, kFetchDeadline,
                   [this, request = std::move(request), leaderReply = std::move(leaderReply),
                    callback = std::move(callback)](const JobReply* reply) mutable {
                     if (reply != nullptr && reply->results.size() == leaderReply.replicaResults) {
                       leaderReply.results = reply->results;
                       callback(&leaderReply);
                       return;
                     }
                     m_avoidedReplica = std::exchange(request.preferredReplica, {});
                     m_avoidedUntil = m_clock.now() + kReplicaBackoff;
                     m_leader.call(JobRequest{request}, kFullReadDeadline, m_clock.now(), callback);
                   });
}

}  // namespace tackpick::jobs
