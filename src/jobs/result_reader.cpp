#include "jobs/result_reader.h"

#include <utility>

namespace tackpick::jobs {
namespace {

/// A near replica answers within a millisecond or two, or is in trouble.
constexpr base::Duration kFetchDeadline = base::milliseconds(150);
constexpr base::Duration kFullReadDeadline = base::seconds(2);
/// A replica that lagged or did not answer is left alone for so long.
constexpr base::Duration kAvoidTime = base::seconds(1);

}  // namespace

base::NodeId ResultReader::usableReplica() const {
  const base::NodeId nearby = m_replicas.nearby();
  const bool avoided = nearby == m_avoided && m_clock.now() < m_avoidedUntil;
  return avoided ? base::NodeId{} : nearby;
}

void ResultReader::read(const ReadJob& request, base::Duration deadline,
                        LedgerClient::Callback callback) {
  ReadJob asked = request;
  asked.nearby = usableReplica();
  m_leader.call(JobRequest{asked}, deadline, m_clock.now(),
                [this, asked, callback = std::move(callback)](const JobReply* reply) {
                  if (reply == nullptr || reply->elsewhere == 0) {
                    callback(reply);
                    return;
                  }
                  fetch(asked, *reply, callback);
                });
}

void ResultReader::fetch(ReadJob request, JobReply announced, LedgerClient::Callback callback) {
  const FetchResults fetch{request.id, request.after, announced.elsewhere};
  const base::NodeId nearby = request.nearby;
  m_replicas.fetch(nearby, fetch, kFetchDeadline,
                   [this, request = std::move(request), announced = std::move(announced),
                    callback = std::move(callback)](const JobReply* reply) mutable {
                     if (reply != nullptr && reply->results.size() == announced.elsewhere) {
                       announced.results = reply->results;
                       callback(&announced);
                       return;
                     }
                     m_avoided = std::exchange(request.nearby, {});
                     m_avoidedUntil = m_clock.now() + kAvoidTime;
                     m_leader.call(JobRequest{request}, kFullReadDeadline, m_clock.now(), callback);
                   });
}

}  // namespace tackpick::jobs
