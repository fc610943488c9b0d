/// \file
/// DirectoryRole: quarantine of requests that crash the instances that run them.
#include "directory/directory_role.h"
#include "quarantine/quarantine_policy.h"

namespace tackpick::directory {

void DirectoryRole::onRequest(const Caller& caller, const quarantine::ReportCrashes& request,
                              base::TimePoint now) {
  m_crashes.evictExpired(now);
  for (const quarantine::Crash& crash : request.crashes) {
    if (state_.quarantine().isHeld(crash.request)) {
      continue;
    }
    m_crashes.record(crash, now);
    const std::set<std::string> instances = m_crashes.instances(crash.request);
    if (instances.size() >= quarantine::kMaxCrashes) {
      proposeWithoutReply(
          quarantine::HoldRequest{crash.request, crash.service, instances, clusterTime(now)}, now);
    }
  }
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::onRequest(const Caller& caller, const quarantine::RequestTrial& request,
                              base::TimePoint now) {
  if (!state_.quarantine().isTrialDue(request.request, clusterTime(now))) {
    reply(caller, DirectoryStatus::kConflict, "no trial is due");
    return;
  }
  const std::uint32_t trials = state_.quarantine().holds().at(request.request).trials;
  const auto pendingTrial = m_pendingTrials.find(request.request);
  const bool taken = pendingTrial != m_pendingTrials.end() && pendingTrial->second.trials == trials;
  if (taken && pendingTrial->second.caller != caller) {
    reply(caller, DirectoryStatus::kConflict, "another gateway runs the trial");
    return;
  }
  m_pendingTrials[request.request] = {caller, trials};
  proposeFor(caller, quarantine::RecordTrial{request.request, clusterTime(now)}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const quarantine::ReadQuarantine& /*request*/,
                              base::TimePoint now) {
  DirectoryReply reply;
  reply.holds = state_.quarantine().summaries(clusterTime(now));
  replyWith(caller, reply);
}

void DirectoryRole::onRequest(const Caller& caller, const quarantine::ReleaseRequest& request,
                              base::TimePoint now) {
  m_crashes.remove(request.request);
  m_pendingTrials.erase(request.request);
  if (!state_.quarantine().isHeld(request.request)) {
    reply(caller, DirectoryStatus::kNotFound);
    return;
  }
  proposeFor(caller, request, {}, now);
}

void DirectoryRole::releaseExpiredHolds(base::TimePoint now) {
  for (const quarantine::RequestFingerprint& request :
       state_.quarantine().expired(clusterTime(now))) {
    m_crashes.remove(request);
    proposeWithoutReply(quarantine::ReleaseRequest{request}, now);
  }
}

}  // namespace tackpick::directory
