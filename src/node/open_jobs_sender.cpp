#include "node/open_jobs_sender.h"

#include "jobs/job_role.h"
#include "node/node.h"

namespace tackpick::node {
namespace {

/// Minimum interval between two reports, so that several new jobs are reported in one call.
constexpr base::Duration kReportInterval = base::milliseconds(40);
constexpr base::Duration kReportTimeout = base::milliseconds(1000);

}  // namespace

void OpenJobsSender::tick(const jobs::JobRole& ledger) {
  const base::TimePoint now = m_node.now();
  const std::uint64_t revision = ledger.workRevision();
  if (m_reporting || revision == m_reportedRevision || now - m_lastReportAt < kReportInterval) {
    return;
  }
  const auto work = ledger.openJobs(now);
  if (!work) {
    return;
  }
  m_reporting = true;
  m_lastReportAt = now;
  m_node.clusterMember().call(
      directory::DirectoryRequest{directory::ReportOpenJobs{*work}}, kReportTimeout, now,
      [this, revision](const directory::DirectoryReply* reply) {
        m_reporting = false;
        m_reportedRevision = reply == nullptr ? m_reportedRevision : revision;
      });
  m_node.scheduleIteration();
}

}  // namespace tackpick::node
