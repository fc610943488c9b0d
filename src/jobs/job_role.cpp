#include "jobs/job_role.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/release_memory.h"

namespace tackpick::jobs {

using transport::CommandStatus;

namespace {

constexpr base::Duration kMaintenanceInterval = base::milliseconds(100);

std::vector<ReadResult> resultsOf(const Job& job, std::uint64_t begin, std::uint64_t end) {
  std::vector<ReadResult> results;
  for (std::uint64_t at = begin; at < end; ++at) {
    const ItemResult& result = job.results[at];
    results.push_back({job.submission.items[result.item].id, result});
  }
  return results;
}

}  // namespace

JobRole::JobRole(base::NodeId self, base::GroupId group, JobRoleSettings settings,
                 consensus::LogStore& log, base::Random& random, base::TimePoint now)
    : settings_(settings),
      self_(self),
      replica_(self, group, settings.replica, log, state_, random, now),
      service_(self, replica_),
      leases_(settings.leaseTime, settings.planInterval, settings.schedulerPolicy),
      m_longPoll(settings.longPoll) {}

void JobRole::handle(base::NodeId from, const transport::RaftEnvelope& message,
                     base::TimePoint now) {
  replica_.handle(from, message, now);
}

void JobRole::handle(base::NodeId from, transport::CommandRequest message, base::TimePoint now) {
  const Caller caller{from, message.call};
  auto request = base::decode<JobRequest>(message.payload);
  base::releaseMemory(message.payload);
  if (!request) {
    return;
  }
  const bool anyReplica = std::holds_alternative<FetchResults>(*request);
  if (!anyReplica && !replica_.canRead(now)) {
    service_.reject(caller, CommandStatus::kNotLeader);
    return;
  }
  std::visit([&](auto& typed) { onRequest(caller, typed, now); }, *request);
}

void JobRole::onRequest(const Caller& caller, SubmitJob& request, base::TimePoint now) {
  if (const Job* known = state_.find(request.job.id)) {
    JobReply reply;
    reply.status = known->belongsTo(request.job.tenant) ? JobStatus::kDone : JobStatus::kNotOwner;
    replyWith(caller, reply);
    return;
  }
  const std::string& id = request.job.id;
  if (!m_proposedBytes.contains(id) && !fits(request.job)) {
    JobReply reply;
    reply.status = JobStatus::kOverloaded;
    replyWith(caller, reply);
    return;
  }
  m_proposedBytes[id] = memoryOfItems(request.job);
  proposeFor(caller, std::move(request), now);
}

bool JobRole::mayReply(std::size_t bytes) {
  if (m_iterationReplyBytes > 0 &&
      m_iterationReplyBytes + bytes > settings_.maxIterationReplyBytes) {
    return false;
  }
  m_iterationReplyBytes += bytes;
  return true;
}

bool JobRole::fits(const JobSubmission& job) const {
  std::size_t bytes = state_.itemBytes() + memoryOfItems(job);
  for (const auto& [id, proposedBytes] : m_proposedBytes) {
    bytes += proposedBytes;
  }
  return bytes <= settings_.maxItemBytes;
}

void JobRole::onRequest(const Caller& caller, const ReadJob& request, base::TimePoint now) {
  reads_.push_back({caller, request, now, now + request.maxWait});
}

void JobRole::onRequest(const Caller& caller, const ReadItem& request, base::TimePoint /*now*/) {
  JobReply reply;
  reply.status = JobStatus::kNotFound;
  const Job* job = state_.findOwned(request.tenant, request.job);
  if (job != nullptr && !job->ended) {
    for (std::size_t i = 0; i < job->hasResult.size(); ++i) {
      const Item& item = job->submission.items[i];
      if (item.id == request.item && !job->hasResult[i]) {
        if (!mayReply(item.body.size())) {
          return;
        }
        reply.status = JobStatus::kDone;
        reply.body = item.body;
      }
    }
  }
  replyWith(caller, reply);
}

void JobRole::onRequest(const Caller& caller, const EndJob& request, base::TimePoint now) {
  const Job* job = state_.findOwned(request.tenant, request.id);
  if (job == nullptr || job->ended) {
    replyWith(caller, {});
    return;
  }
  proposeFor(caller, request, now);
}

void JobRole::onRequest(const Caller& caller, const LeaseItems& request, base::TimePoint now) {
  recordEventIntervals(request, now);
  JobReply reply;
  reply.wantsEventIntervals = recordReporter(caller.node, !request.eventIntervals.empty());
  reply.revoked = leases_.renew(caller.node, request.held, state_, now);
  if (request.draining) {
    leases_.release(caller.node, request.held, state_);
  }
  leases_.onLeaseRequest(caller.node, request.zone, !request.freeSlots.empty(), now,
                         request.capacity, request.configurationVersion);
  reply.standby = !leases_.gatewaySelector().isActive(caller.node, request.zone, now);
  reply.activeGateways = leases_.gatewaySelector().activeCount(now);
  if (!reply.standby) {
    for (const GrantedItem& granted : leases_.lease(caller.node, request.freeSlots, state_, now,
                                                    maxItemBytes(request.capacity))) {
      reply.leased.push_back(makeLeasedItem(granted, now));
    }
  }
  if (!request.eventIntervals.empty()) {
    reply.itemsByEngine = leases_.itemsByEngine();
  }
  replyWith(caller, reply);
}

bool JobRole::recordReporter(base::NodeId gateway, bool reported) {
  if (reported) {
    m_intervalReporters.insert(gateway);
  }
  return !m_intervalReporters.contains(gateway);
}

void JobRole::recordEventIntervals(const LeaseItems& request, base::TimePoint now) {
  leases_.placement().recordEventIntervals(request.eventIntervals, now);
  if (request.eventIntervals.empty()) {
    return;
  }
  for (const HeldItem& held : request.held) {
    const Job* job = state_.find(held.key.job);
    if (job != nullptr) {
      leases_.eventIntervals().addSample(job->submission.model,
                                         leases_.placement().eventIntervalOf(held.engine));
    }
  }
}

LeasedItem JobRole::makeLeasedItem(const GrantedItem& granted, base::TimePoint now) const {
  const ItemKey& key = granted.key;
  const Job& owner = *state_.find(key.job);
  const JobSubmission& job = owner.submission;
  LeasedItem leased;
  leased.key = key;
  leased.lease = granted.lease;
  leased.engine = granted.engine;
  const auto partial = owner.partial.find(key.item);
  if (partial != owner.partial.end()) {
    leased.progress = partial->second;
  }
  leased.item = job.items[key.item];
  leased.tenant = job.tenant;
  leased.host = job.host;
  leased.model = job.model;
  leased.minimumVersion = job.minimumVersion;
  leased.singleVersion = job.singleVersion;
  leased.attempts = job.attempts;
  leased.age = now - leases_.firstSeen(key.job, now);
  leased.queueTimeout = job.queueTimeout;
  leased.timeUntilDue = leases_.timeUntilDue(owner, key.job, now);
  leased.remainingEvents = leases_.remainingEvents(owner, key, now);
  return leased;
}

void JobRole::onRequest(const Caller& caller, const CommitResults& request, base::TimePoint now) {
  const CommitResults newResults = state_.newResultsOf(request);
  if (newResults.jobs.empty()) {
    replyWith(caller, {});
    return;
  }
  for (const JobResults& job : newResults.jobs) {
    for (const ItemResult& result : job.results) {
      leases_.forecast().train(state_.find(job.job)->submission, result);
    }
  }
  proposeFor(caller, newResults, now);
}

void JobRole::onRequest(const Caller& caller, const SaveProgress& request, base::TimePoint now) {
  proposeFor(caller, request, now);
}

void JobRole::onRequest(const Caller& caller, const GetWorkReport& /*request*/,
                        base::TimePoint now) {
  JobReply reply;
  reply.work = makeWorkReport(leases_.summary(state_, now), leases_.placement().summaries(now),
                              leases_.gateways(), now);
  replyWith(caller, reply);
}

void JobRole::onRequest(const Caller& caller, const FetchResults& request,
                        base::TimePoint /*now*/) {
  JobReply reply;
  const Job* job = state_.find(request.id);
  const std::uint64_t end = request.after + request.count;
  if (job == nullptr || end < request.after || end > job->results.size()) {
    reply.status = JobStatus::kNotFound;  // this replica lags or has left the group
  } else {
    reply.results = resultsOf(*job, request.after, end);
  }
  replyWith(caller, reply);
}

void JobRole::onPeerLost(std::uint32_t number, base::TimePoint now) {
  leases_.onGatewayLost(number, settings_.disconnectGrace, now);
  std::erase_if(m_intervalReporters,
                [&](base::NodeId node) { return base::nodeNumber(node) == number; });
}

void JobRole::replyWith(const Caller& caller, const JobReply& reply) {
  service_.reply(caller, base::encode(reply));
}

void JobRole::proposeFor(const Caller& caller, const JobCommand& command, base::TimePoint now) {
  service_.proposeFor(caller, encodeCommand(command), base::encode(JobReply{}), now);
}

std::optional<OpenJobsByModel> JobRole::openJobs(base::TimePoint now) const {
  if (!replica_.canRead(now)) {
    return std::nullopt;
  }
  OpenJobsByModel jobsByModel;
  for (const auto* entry : state_.bySubmission()) {
    const auto& [id, job] = *entry;
    if (!job.finished()) {
      jobsByModel[job.submission.model].push_back(openJobOf(id, job, now));
    }
  }
  return jobsByModel;
}

OpenJob JobRole::openJobOf(const std::string& id, const Job& job, base::TimePoint now) const {
  OpenJob openJob;
  openJob.job = id;
  openJob.minimumVersion = job.submission.minimumVersion;
  openJob.items = static_cast<std::uint32_t>(job.submission.items.size() - job.results.size());
  const std::uint32_t running = leases_.runningItems(id);
  openJob.waiting = openJob.items - std::min(openJob.items, running);
  openJob.age = now - leases_.firstSeen(id, now);
  openJob.slack = leases_.slackOf(job, id, now);
  return openJob;
}

std::optional<WorkSummary> JobRole::workSummary(base::TimePoint now) const {
  return replica_.canRead(now) ? std::optional(leases_.summary(state_, now)) : std::nullopt;
}

void JobRole::tick(base::TimePoint now) {
  replica_.tick(now);
  if (now - m_maintenanceAt < kMaintenanceInterval || !replica_.canRead(now)) {
    return;
  }
  m_maintenanceAt = now;
  leases_.refresh(state_, now);
  expireJobs(now);
  service_.repairMembership(nodes_, settings_.repair, now);
}

void JobRole::expireJobs(base::TimePoint now) {
  RemoveJobs expired;
  for (const auto& [id, job] : state_.jobs()) {
    const bool open = !job.finished();
    const base::Duration limit =
        open ? std::max(settings_.retention, job.submission.queueTimeout) : settings_.retention;
    if (now - leases_.firstSeen(id, now) > limit) {
      expired.ids.push_back(id);
    }
  }
  for (const std::string& id : expired.ids) {
    leases_.removeJob(id);
    m_longPoll.removeJob(id);
  }
  if (!expired.ids.empty()) {
    service_.propose(encodeCommand(JobCommand{expired}), now);
  }
}

transport::Outbox JobRole::finish(base::TimePoint now) {
  transport::Outbox messages;
  replica_.finish(now, messages);
  recordSubmissions(now);
  checkLeadership(now);
  registerNewJobs(now);
  replyToReads(now);
  m_iterationReplyBytes = 0;
  transport::Outbox replies = std::exchange(service_.outbox(), {});
  messages.insert(messages.end(), std::make_move_iterator(replies.begin()),
                  std::make_move_iterator(replies.end()));
  return messages;
}

void JobRole::recordSubmissions(base::TimePoint now) {
  if (m_observedRevision == state_.jobsRevision()) {
    return;
  }
  m_observedRevision = state_.jobsRevision();
  std::erase_if(m_proposedBytes,
                [&](const auto& proposed) { return state_.find(proposed.first) != nullptr; });
  std::erase_if(m_submissions, [&](const auto& known) {
    const Job* job = state_.find(known.first);
    return job == nullptr || job->submittedAt != known.second.index;
  });
  for (const auto& [id, job] : state_.jobs()) {
    m_submissions.try_emplace(id, SubmissionRecord{job.submittedAt, now});
  }
}

void JobRole::registerNewJobs(base::TimePoint now) {
  if (m_leasedRevision == state_.jobsRevision() || !replica_.canRead(now)) {
    return;
  }
  const bool wasLeader = m_leasedRevision.has_value();
  m_leasedRevision = state_.jobsRevision();
  if (!wasLeader) {
    trainForecast();
  }
  for (const auto* entry : state_.bySubmission()) {
    const auto& [id, job] = *entry;
    if (leases_.addJob(id, job, m_submissions.at(id).appliedAt) && wasLeader) {
      m_longPoll.addJob(id, job, leases_.resubmittedGroupsOf(id));
    }
  }
}

void JobRole::trainForecast() {
  leases_.forecast().clear();
  for (const auto& [id, job] : state_.jobs()) {
    for (const ItemResult& result : job.results) {
      leases_.forecast().train(job.submission, result);
    }
  }
}

void JobRole::checkLeadership(base::TimePoint now) {
  const consensus::RaftConsensus& raft = replica_.raft();
  if (raft.isLeader() && (!was_leader_ || observed_term_ != raft.currentTerm())) {
    leader_since_ = now;
    service_.endTerm();
    leases_.reset(raft.currentTerm(), now, settings_.leaseGrace);
    m_intervalReporters.clear();
    m_longPoll.reset();
    m_leasedRevision.reset();
    m_proposedBytes.clear();
  }
  was_leader_ = raft.isLeader();
  observed_term_ = raft.currentTerm();
}

void JobRole::replyToReads(base::TimePoint now) {
  const bool readable = replica_.canRead(now);
  m_longPoll.observe(state_,
                     [&](const std::string& id) { return now - leases_.firstSeen(id, now); });
  for (PendingRead& pending : std::exchange(reads_, {})) {
    const Job* job = state_.findOwned(pending.read.tenant, pending.read.id);
    if (!readable) {
      service_.reject(pending.caller, CommandStatus::kNotLeader);
      continue;
    }
    JobReply reply;
    if (job == nullptr) {
      reply.status = JobStatus::kNotFound;
      replyWith(pending.caller, reply);
      continue;
    }
    if (shouldWait(pending, *job, now) || !replyToRead(pending, *job)) {
      reads_.push_back(std::move(pending));
    }
  }
}

bool JobRole::shouldWait(const PendingRead& pending, const Job& job, base::TimePoint now) {
  if (job.finished() || now >= pending.expiresAt) {
    return false;
  }
  if (pending.read.after >= job.results.size()) {
    return true;
  }
  const base::TimePoint submittedAt = leases_.firstSeen(pending.read.id, now);
  return m_longPoll.shouldHold(pending.read.id, job, now - submittedAt,
                               pending.receivedAt - submittedAt, pending.expiresAt - now);
}

bool JobRole::replyToRead(const PendingRead& pending, const Job& job) {
  const std::uint64_t begin = std::min<std::uint64_t>(pending.read.after, job.results.size());
  std::uint64_t end = begin;
  std::size_t bytes = 0;
  while (end < job.results.size()) {
    bytes += job.results[end].text.length();
    if (end > begin && bytes > settings_.maxReplyBytes) {
      break;
    }
    ++end;
  }
  JobReply reply;
  reply.total = job.submission.items.size();
  const base::NodeId preferredReplica = pending.read.preferredReplica;
  if (preferredReplica.valid() && preferredReplica != self_ && bytes > settings_.maxInlineBytes) {
    reply.replicaResults = end - begin;
  } else if (mayReply(bytes)) {
    reply.results = resultsOf(job, begin, end);
  } else {
    return false;
  }
  replyWith(pending.caller, reply);
  return true;
}

std::optional<consensus::Membership> JobRole::stableMembership(base::TimePoint now) const {
  if (!replica_.canRead(now) || replica_.raft().membershipChangePending()) {
    return std::nullopt;
  }
  return replica_.raft().membership();
}

}  // namespace tackpick::jobs
