/// \file
/// ItemLeases: which queued item should run where.
#include <algorithm>
#include <utility>

#include "jobs/item_leases.h"

namespace tackpick::jobs {

/// The next item is the first of the queue; those planned stay queued until they are leased.
struct ItemLeases::JobPlan {
  QueuedJob& queued;
  const Job& job;
  const std::vector<bool>* spare = nullptr;  ///< null: no item is
  const LengthModel& lengths;
  double eventIntervalMs = 0;
  bool late = false;                   ///< the job cannot be whole in time
  ItemRequirements need;               ///< of the next item
  std::vector<bool> seen;              ///< an item that was put back may stand there twice
  std::vector<std::uint32_t> planned;  ///< in their order

  [[nodiscard]] std::uint32_t nextItem() const { return queued.items.front(); }
  [[nodiscard]] bool nextIsSpare() const { return spare != nullptr && (*spare)[nextItem()]; }
};

void ItemLeases::plan(const JobState& state, base::TimePoint now) {
  const bool recent = planned_at_ != base::TimePoint{} && now - planned_at_ < plan_interval_;
  if (!plan_outdated_ || recent) {
    return;
  }
  planned_at_ = now;
  plan_outdated_ = false;
  plan_.clear();
  queue_.dropSettled(state);
  placement_.setLoads(items_by_engine_, now);
  std::vector<JobPlan> jobs = queuedJobs(state, now);
  beginOrder(jobs);
  planItems(jobs);
  for (JobPlan& plan : jobs) {
    std::deque<std::uint32_t>& items = plan.queued.items;
    items.insert(items.begin(), plan.planned.begin(), plan.planned.end());
  }
  observePlan(now);
}

void ItemLeases::observePlan(base::TimePoint now) {
  if (m_models.size() <= 1) {
    return;
  }
  for (const auto& [zone, runs] : plan_.zones()) {
    std::map<std::string, std::uint32_t> items;
    for (const auto& [run, planned] : runs) {
      for (const PlannedItem& item : planned.items) {
        ++items[item.engine];
      }
    }
    m_engineAffinity.setGateways(zone, m_gatewaySelector.activeIn(zone, now));
    m_engineAffinity.onPlanned(zone, items, now);
  }
}

std::vector<ItemLeases::JobPlan> ItemLeases::queuedJobs(const JobState& state,
                                                        base::TimePoint now) {
  std::vector<JobPlan> jobs;
  jobs.reserve(queue_.jobs().size());
  for (QueuedJob& queued : queue_.jobs()) {
    const Job& job = *state.find(queued.id);
    const auto order = m_itemOrders.find(queued.id);
    const JobSubmission& submission = job.submission;
    JobPlan plan{
        .queued = queued,
        .job = job,
        .spare = order == m_itemOrders.end() ? nullptr : &order->second.spare,
        .lengths = m_forecast.modelFor(submission),
        .eventIntervalMs = m_eventIntervals.eventIntervalOf(submission.model),
        .late = m_lateJobs.contains(queued.id),
        .need = {submission.model, submission.minimumVersion, 0, timeUntilDue(job, queued.id, now)},
        .seen = std::vector<bool>(job.listed.size()),
        .planned = {}};
    if (advance(plan)) {
      jobs.push_back(std::move(plan));
    }
  }
  return jobs;
}

void ItemLeases::beginOrder(std::vector<JobPlan>& jobs) {
  std::vector<QueuedWork> work;
  for (JobPlan& plan : jobs) {
    const JobSubmission& job = plan.job.submission;
    work.push_back(
        {plan.queued.id, job.tenant, m_priorities.of(job.tenant, job.priority), urgencyOf(plan)});
  }
  m_order->begin(work);
}

bool ItemLeases::advance(JobPlan& plan) {
  std::deque<std::uint32_t>& items = plan.queued.items;
  while (!items.empty()) {
    const std::uint32_t item = items.front();
    if (plan.job.listed[item] || plan.seen[item] || leases_.contains({plan.queued.id, item})) {
      items.pop_front();
      continue;
    }
    if (plan.job.hasWholeText(item)) {
      plan.queued.whole.push_back(item);
      items.pop_front();
      continue;
    }
    const auto kept = plan.job.partial.find(item);
    const std::uint64_t soFar = kept == plan.job.partial.end() ? 0 : kept->second.point.event;
    const std::uint32_t estimate = plan.job.submission.items[item].expectedTokens;
    plan.need.remainingEvents = plan.lengths.rest(estimate, soFar);
    return true;
  }
  return false;
}

Urgency ItemLeases::urgencyOf(JobPlan& plan) {
  /// An estimate may be wrong by that much: only a job that misses its due time even then is late.
  constexpr double kOptimistic = 0.4;
  const base::Duration timeUntilDue = plan.need.timeUntilDue;
  const double remainingEvents = plan.need.remainingEvents;
  Urgency urgency;
  urgency.spare = plan.nextIsSpare();
  urgency.slackClass = slackClassOf(
      timeUntilDue - ModelEventIntervals::timeAt(plan.eventIntervalMs, remainingEvents));
  const base::Duration least =
      ModelEventIntervals::timeAt(plan.eventIntervalMs, kOptimistic * remainingEvents);
  if (!plan.late && !urgency.spare && least > timeUntilDue) {
    plan.late = true;
    m_lateJobs.insert(plan.queued.id);
  }
  urgency.late = plan.late;
  return urgency;
}

void ItemLeases::planItems(std::vector<JobPlan>& jobs) {
  std::size_t run = 0;
  std::optional<std::size_t> before;
  while (const std::optional<std::size_t> next = m_order->next()) {
    run += before && *before != *next ? 1 : 0;
    before = next;
    JobPlan& plan = jobs[*next];
    if (!planItem(plan, run)) {
      m_order->onExhausted(*next);
      continue;
    }
    const bool more = advance(plan);
    m_order->onPlanned(*next, more ? urgencyOf(plan) : Urgency{});
    if (!more) {
      m_order->onExhausted(*next);
    }
  }
}

bool ItemLeases::planItem(JobPlan& plan, std::size_t run) {
  std::string engine = placement_.place(plan.need);
  if (engine.empty() && placement_.knowsEngines()) {
    return false;
  }
  const std::uint32_t item = plan.nextItem();
  const std::string zone = placement_.zoneOf(engine);
  plan_.add(zone, run, plan.job, {{plan.queued.id, item}, std::move(engine)});
  plan.seen[item] = true;
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
  const auto kept = job.partial.find(key.item);
  double soFar = kept == job.partial.end() ? 0 : static_cast<double>(kept->second.point.event);
  const auto lease = leases_.find(key);
  if (lease != leases_.end()) {
    soFar =
        std::max(soFar, m_eventIntervals.eventsIn(job.submission.model, now - lease->second.since));
  }
  return m_forecast.rest(job.submission, job.submission.items[key.item],
                         static_cast<std::uint64_t>(soFar));
}

base::Duration ItemLeases::slackOf(const Job& job, const std::string& id,
                                   base::TimePoint now) const {
  /// Items are in the order of their estimates: the longest is among the first.
  constexpr std::uint32_t kExamined = 16;
  const base::Duration due = timeUntilDue(job, id, now);
  const auto order = m_itemOrders.find(id);
  if (due == base::Duration::max() || order == m_itemOrders.end()) {
    return due;
  }
  double longest = 0;
  std::uint32_t examined = 0;
  for (const std::uint32_t item : order->second.items) {
    if (job.listed[item] || order->second.spare[item]) {
      continue;
    }
    longest = std::max(longest, remainingEvents(job, {id, item}, now));
    if (++examined == kExamined) {
      break;
    }
  }
  return due - m_eventIntervals.timeFor(job.submission.model, longest);
}

WorkSummary ItemLeases::summary(const JobState& state, base::TimePoint now) const {
  WorkSummary summary;
  std::map<std::pair<std::string, std::uint64_t>, std::uint32_t> readySlots;
  for (const auto* entry : state.bySubmission()) {
    const auto& [id, job] = *entry;
    if (job.settled()) {
      continue;
    }
    const JobSubmission& submission = job.submission;
    const auto open = static_cast<std::uint32_t>(submission.items.size() - job.results.size());
    JobSummary seen{id, submission.tenant, submission.model};
    seen.minimumVersion = submission.minimumVersion;
    const auto [slots, isNew] = readySlots.try_emplace({seen.model, seen.minimumVersion}, 0);
    if (isNew) {
      slots->second = placement_.readySlots(seen.model, seen.minimumVersion);
    }
    seen.readySlots = slots->second;
    seen.priority = m_priorities.of(submission.tenant, submission.priority);
    seen.running = std::min(open, runningItems(id));
    seen.waiting = open - seen.running;
    seen.slack = slackOf(job, id, now);
    seen.age = now - firstSeen(id, now);
    TenantSummary& tenant = summary.tenants[submission.tenant];
    tenant.waiting += seen.waiting;
    tenant.running += seen.running;
    summary.jobs.push_back(std::move(seen));
  }
  for (auto& [name, tenant] : summary.tenants) {
    tenant.share = leases_.empty() ? 0 : tenant.running / static_cast<double>(leases_.size());
  }
  return summary;
}

}  // namespace tackpick::jobs
