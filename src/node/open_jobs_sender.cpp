#include "node/open_jobs_sender.h"

#include "jobs/job_role.h"
#include "node/node.h"

namespace tackpick::node {
namespace {

/// Several jobs that come together are told in one call.
constexpr base::Duration kTellInterval = base::milliseconds(40);
constexpr base::Duration kTellDeadline = base::milliseconds(1000);

}  // namespace

void OpenJobsSender::tick(const jobs::JobRole& ledger) {
  const base::TimePoint now = m_node.now();
  const std::uint64_t changes = ledger.workRevision();
  if (m_telling || changes == m_told || now - m_toldAt < kTellInterval) {
    return;
  }
  const auto work = ledger.openJobs(now);
  if (!work) {
    return;
  }
  m_telling = true;
  m_toldAt = now;
  m_node.member().call(directory::DirectoryRequest{directory::ReportOpenJobs{*work}}, kTellDeadline,
                       now, [this, changes](const directory::DirectoryReply* reply) {
                         m_telling = false;
                         m_told = reply == nullptr ? m_told : changes;
                       });
  m_node.wake();
}

}  // namespace tackpick::node
