/// \file
/// ItemLeases: planning of queued items.
#include <algorithm>
#include <utility>

#include "jobs/item_leases.h"

namespace tackpick::jobs {

/// A queued job during planning. The next item is the front of its queue; planned items return to
/// the queue after the plan.
struct ItemLeases::JobPlan {
  QueuedJob& queued;
  const Job& job;
  const std::vector<bool>* isOptional = nullptr;  ///< by item; null: no item is optional
  const LengthModel& lengths;
  double eventIntervalMs = 0;
  bool late = false;              ///< the job cannot complete in time
  ItemRequirements requirements;  ///< requirements of the next item
  std::vector<bool> isPlanned;    ///< by item: already planned; a requeued item may be queued twice
  std::vector<std::uint32_t> planned;  ///< planned items in their order

  [[nodiscard]] std::uint32_t nextItem() const { return queued.items.front(); }
  [[nodiscard]] bool nextIsOptional() const {
    return isOptional != nullptr && (*isOptional)[nextItem()];
  }
};

void ItemLeases::plan(const JobState& state, base::TimePoint now) {
  const bool recent = planned_at_ != base::TimePoint{} && now - planned_at_ < plan_interval_;
  if (!plan_outdated_ || recent) {
    return;
  }
  planned_at_ = now;
  plan_outdated_ = false;
  plan_.clear();
  queue_.removeFinished(state);
  placement_.setLoads(items_by_engine_, now);
  std::vector<JobPlan> jobs = makeJobPlans(state, now);
  beginScheduling(jobs);
  planItems(jobs);
  for (JobPlan& plan : jobs) {
    std::deque<std::uint32_t>& items = plan.queued.items;
    items.insert(items.begin(), plan.planned.begin(), plan.planned.end());
  }
  updateAffinity(now);
}

void ItemLeases::updateAffinity(base::TimePoint now) {
  if (m_models.size() <= 1) {
    return;
  }
  for (const auto& [zone, jobs] : plan_.zones()) {
    std::map<std::string, std::uint32_t> items;
    for (const auto& [position, planned] : jobs) {
      for (const PlannedItem& item : planned.items) {
        ++items[item.engine];
      }
    }
    m_engineAffinity.setGateways(zone, m_gatewaySelector.activeIn(zone, now));
    m_engineAffinity.onPlanned(zone, items, now);
  }
}

std::vector<ItemLeases::JobPlan> ItemLeases::makeJobPlans(const JobState& state,
                                                          base::TimePoint now) {
  std::vector<JobPlan> jobs;
  jobs.reserve(queue_.jobs().size());
  for (QueuedJob& queued : queue_.jobs()) {
    const Job& job = *state.find(queued.id);
    const auto order = m_itemOrders.find(queued.id);
    const JobSubmission& submission = job.submission;
    JobPlan plan{.queued = queued,
                 .job = job,
                 .isOptional = order == m_itemOrders.end() ? nullptr : &order->second.isOptional,
                 .lengths = m_forecast.modelFor(submission),
                 .eventIntervalMs = m_eventIntervals.eventIntervalOf(submission.model),
                 .late = m_lateJobs.contains(queued.id),
                 .requirements = {submission.model, submission.minimumVersion, 0,
                                  timeUntilDue(job, queued.id, now)},
                 .isPlanned = std::vector<bool>(job.hasResult.size()),
                 .planned = {}};
    if (skipToNext(plan)) {
      jobs.push_back(std::move(plan));
    }
  }
  return jobs;
}

void ItemLeases::beginScheduling(std::vector<JobPlan>& jobs) {
  std::vector<SchedulableJob> work;
  for (JobPlan& plan : jobs) {
    const JobSubmission& job = plan.job.submission;
    work.push_back({plan.queued.id, job.tenant, m_priorities.priorityOf(job.tenant, job.priority),
                    urgencyOf(plan)});
  }
  m_scheduler->begin(work);
}

bool ItemLeases::skipToNext(JobPlan& plan) {
  std::deque<std::uint32_t>& items = plan.queued.items;
  while (!items.empty()) {
    const std::uint32_t item = items.front();
    if (plan.job.hasResult[item] || plan.isPlanned[item] ||
        leases_.contains({plan.queued.id, item})) {
      items.pop_front();
      continue;
    }
    if (plan.job.hasCompleteText(item)) {
      plan.queued.scoringOnly.push_back(item);
      items.pop_front();
      continue;
    }
    const auto saved = plan.job.partial.find(item);
    const std::uint64_t eventsSoFar =
        saved == plan.job.partial.end() ? 0 : saved->second.point.event;
    const std::uint32_t estimate = plan.job.submission.items[item].expectedTokens;
    plan.requirements.remainingEvents = plan.lengths.remaining(estimate, eventsSoFar);
    return true;
  }
  return false;
}

Urgency ItemLeases::urgencyOf(JobPlan& plan) {
  /// Lower bound of the length relative to the estimate: a job is late only if even such short
  /// texts miss the due time.
  constexpr double kOptimisticFactor = 0.4;
  const base::Duration timeUntilDue = plan.requirements.timeUntilDue;
  const double remainingEvents = plan.requirements.remainingEvents;
  Urgency urgency;
  urgency.isOptional = plan.nextIsOptional();
  urgency.slackClass = slackClassOf(
      timeUntilDue - ModelEventIntervals::timeAt(plan.eventIntervalMs, remainingEvents));
  const base::Duration minimumTime =
      ModelEventIntervals::timeAt(plan.eventIntervalMs, kOptimisticFactor * remainingEvents);
  if (!plan.late && !urgency.isOptional && minimumTime > timeUntilDue) {
    plan.late = true;
    m_lateJobs.insert(plan.queued.id);
  }
  urgency.late = plan.late;
  return urgency;
}

void ItemLeases::planItems(std::vector<JobPlan>& jobs) {
  std::size_t position = 0;
  std::optional<std::size_t> previous;
  while (const std::optional<std::size_t> next = m_scheduler->next()) {
    position += previous && *previous != *next ? 1 : 0;
    previous = next;
    JobPlan& plan = jobs[*next];
    if (!planItem(plan, position)) {
      m_scheduler->onExhausted(*next);
      continue;
    }
    const bool more = skipToNext(plan);
    m_scheduler->onPlanned(*next, more ? urgencyOf(plan) : Urgency{});
    if (!more) {
      m_scheduler->onExhausted(*next);
    }
  }
}

bool ItemLeases::planItem(JobPlan& plan, std::size_t position) {
  std::string engine = placement_.place(plan.requirements);
  if (engine.empty() && placement_.hasAcceptingEngines()) {
    return false;
  }
  const std::uint32_t item = plan.nextItem();
  const std::string zone = placement_.zoneOf(engine);
  plan_.add(zone, position, plan.job, {{plan.queued.id, item}, std::move(engine)});
  plan.isPlanned[item] = true;
  plan.planned.push_back(item);
  plan.queued.items.pop_front();
  return true;
}

base::Duration ItemLeases::timeUntilDue(const Job& job, const std::string& id,
                                        base::TimePoint now) const {
  const base::Duration deadline = job.submission.resultDeadline;
  return deadline > base::Duration{0} ? deadline - (now - firstSeen(id, now))
                                      : base::Duration::max();
}

double ItemLeases::remainingEvents(const Job& job, const ItemKey& key, base::TimePoint now) const {
  const auto saved = job.partial.find(key.item);
  double eventsSoFar =
      saved == job.partial.end() ? 0 : static_cast<double>(saved->second.point.event);
  const auto lease = leases_.find(key);
  if (lease != leases_.end()) {
    eventsSoFar = std::max(
        eventsSoFar, m_eventIntervals.eventsIn(job.submission.model, now - lease->second.leasedAt));
  }
  return m_forecast.remaining(job.submission, job.submission.items[key.item],
                              static_cast<std::uint64_t>(eventsSoFar));
}

base::Duration ItemLeases::slackOf(const Job& job, const std::string& id,
                                   base::TimePoint now) const {
  /// Maximum number of open items that are examined; the order is by descending estimate, so the
  /// longest is among the first.
  constexpr std::uint32_t kMaxExamined = 16;
  const base::Duration timeLeft = timeUntilDue(job, id, now);
  const auto order = m_itemOrders.find(id);
  if (timeLeft == base::Duration::max() || order == m_itemOrders.end()) {
    return timeLeft;
  }
  double longest = 0;
  std::uint32_t examined = 0;
  for (const std::uint32_t item : order->second.items) {
    if (job.hasResult[item] || order->second.isOptional[item]) {
      continue;
    }
    longest = std::max(longest, remainingEvents(job, {id, item}, now));
    if (++examined == kMaxExamined) {
      break;
    }
  }
  return timeLeft - m_eventIntervals.timeFor(job.submission.model, longest);
}

WorkSummary ItemLeases::summary(const JobState& state, base::TimePoint now) const {
  WorkSummary summary;
  std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> readySlots;
  for (const auto* entry : state.bySubmission()) {
    const auto& [id, job] = *entry;
    if (job.finished()) {
      continue;
    }
    const JobSubmission& submission = job.submission;
    const auto open = static_cast<std::uint32_t>(submission.items.size() - job.results.size());
    JobSummary jobSummary{id, submission.tenant, submission.model};
    jobSummary.minimumVersion = submission.minimumVersion;
    const auto [slots, isNew] =
        readySlots.try_emplace({jobSummary.model, jobSummary.minimumVersion}, 0);
    if (isNew) {
      slots->second = placement_.readySlots(jobSummary.model, jobSummary.minimumVersion);
    }
    jobSummary.readySlots = slots->second;
    jobSummary.priority = m_priorities.priorityOf(submission.tenant, submission.priority);
    jobSummary.running = std::min(open, runningItems(id));
    jobSummary.waiting = open - jobSummary.running;
    jobSummary.slack = slackOf(job, id, now);
    jobSummary.age = now - firstSeen(id, now);
    TenantSummary& tenant = summary.tenants[submission.tenant];
    tenant.waiting += jobSummary.waiting;
    tenant.running += jobSummary.running;
    summary.jobs.push_back(std::move(jobSummary));
  }
  for (auto& [name, tenant] : summary.tenants) {
    tenant.share = leases_.empty() ? 0 : tenant.running / static_cast<double>(leases_.size());
  }
  return summary;
}

}  // namespace tackpick::jobs
