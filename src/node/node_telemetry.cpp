/// \file
/// Node: log events on changes of state, and gauges.
#include <algorithm>

#include "node/gateway_server.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {

using telemetry::CounterId;
using telemetry::EventFields;
using telemetry::EventId;
using telemetry::GaugeId;
using telemetry::logEvent;

const consensus::Replica* Node::replica() const {
  if (directory_) {
    return &directory_->replica();
  }
  return ledger_ ? &ledger_->replica() : nullptr;
}

void Node::logStateChanges() {
  if (const consensus::Replica* own = replica()) {
    logReplicaChanges(*own);
  }
}

void Node::logReplicaChanges(const consensus::Replica& replica) {
  const consensus::RaftConsensus& raft = replica.raft();
  if (raft.isLeader() != reported_leader_) {
    reported_leader_ = raft.isLeader();
    if (reported_leader_) {
      metrics_.count(CounterId::kElectionsWon);
    }
    logEvent(reported_leader_ ? EventId::kBecameLeader : EventId::kLostLeadership,
             EventFields()
                 .add("group", replica.group().value)
                 .add("term", raft.currentTerm())
                 .add("applied", replica.appliedIndex())
                 .text());
  }
  // Compares the members, not their number, which does not change when a lost voter is replaced.
  const consensus::Membership& membership = raft.membership();
  if (membership != m_reportedMembership) {
    m_reportedMembership = membership;
    logEvent(EventId::kMembershipChanged, EventFields()
                                              .add("group", replica.group().value)
                                              .add("voters", membership.voters.size())
                                              .add("learners", membership.learners.size())
                                              .text());
  }
  logGroupHealthChanges(replica);
  if (raft.failed() && !failed_) {
    failed_ = true;
    disk_failed_ = true;
    logEvent(EventId::kReplicaFailed, EventFields().add("group", replica.group().value).text());
  }
}

std::optional<cluster::GroupHealth> Node::groupHealth() const {
  const consensus::Replica* own = replica();
  if (own == nullptr || !own->raft().isLeader()) {
    return std::nullopt;
  }
  return directory_ ? directory_->groupHealth() : ledger_->groupHealth();
}

void Node::logGroupHealthChanges(const consensus::Replica& replica) {
  const std::optional<cluster::GroupHealth> health = groupHealth();
  if (!health || health == m_reportedHealth) {
    return;
  }
  const bool wasAtTargetSize = m_reportedHealth && m_reportedHealth->isAtTargetSize();
  m_reportedHealth = health;
  if (health->isAtTargetSize() && wasAtTargetSize) {
    return;
  }
  logEvent(health->isAtTargetSize() ? EventId::kGroupOfSize : EventId::kGroupBelowSize,
           EventFields()
               .add("group", replica.group().value)
               .add("voters", health->totalVoters)
               .add("heard", health->healthyVoters)
               .add("wanted", health->targetVoters)
               .text());
}

void Node::updateWeightsGauges() {
  const directory::WeightsSummary* currentWeights = directory_->weights();
  const directory::WeightsSummary summary =
      currentWeights == nullptr ? directory::WeightsSummary{} : *currentWeights;
  for (const auto& [name, version] : directory_->state().versions()) {
    const auto found = summary.models.find(name);
    const auto model =
        found == summary.models.end() ? directory::ModelWeightsSummary{} : found->second;
    metrics_.set(GaugeId::kPlacesReady, name, model.readySlots);
    metrics_.set(GaugeId::kPlacesLoading, name, model.loadingSlots);
    metrics_.set(GaugeId::kPlacesNeeded, name, model.requiredSlots);
  }
  metrics_.set(GaugeId::kEnginesLoading, static_cast<double>(summary.loading));
  metrics_.set(GaugeId::kLoadBudget, static_cast<double>(summary.maxLoads));
}

void Node::logCapacityDecisions(const std::vector<duties::CapacityDecision>& decisions) {
  for (const duties::CapacityDecision& decision : decisions) {
    logEvent(EventId::kCapacityDecided, EventFields()
                                            .add("service", decision.subject.service)
                                            .add("zone", decision.subject.zone)
                                            .add("kind", duties::toString(decision.subject.kind))
                                            .add("count", decision.count)
                                            .add("before", decision.previousCount)
                                            .add("there", decision.active)
                                            .add("leaving", decision.draining)
                                            .add("wanted", decision.targetTotal)
                                            .add("work_known", decision.demandKnown)
                                            .add("items", decision.items)
                                            .add("waiting", decision.waiting)
                                            .add("work_age_ms", decision.demandAge)
                                            .text());
  }
}

void Node::updateCapacityGauges() {
  const bool isLeading = replica()->raft().isLeader();
  const auto valueIfLeading = [isLeading](std::uint32_t value) { return isLeading ? value : 0; };
  for (const duties::PoolSummary& summary : directory_->capacity()) {
    const std::string pool = summary.subject.service + "/" + summary.subject.zone + "/" +
                             std::string(duties::toString(summary.subject.kind));
    metrics_.set(GaugeId::kInstancesDesired, pool, valueIfLeading(summary.desired));
    metrics_.set(GaugeId::kInstancesThere, pool, valueIfLeading(summary.active));
    metrics_.set(GaugeId::kInstancesStarting, pool, valueIfLeading(summary.starting));
    metrics_.set(GaugeId::kInstancesLeaving, pool, valueIfLeading(summary.draining));
    metrics_.set(GaugeId::kInstancesRefused, pool, valueIfLeading(summary.consecutiveFailures));
  }
}

void Node::updateGauges() {
  if (const consensus::Replica* own = replica()) {
    const consensus::RaftConsensus& raft = own->raft();
    metrics_.set(GaugeId::kLeader, raft.isLeader() ? 1 : 0);
    metrics_.set(GaugeId::kTerm, static_cast<double>(raft.currentTerm()));
    metrics_.set(GaugeId::kCommitIndex, static_cast<double>(raft.commitIndex()));
    metrics_.set(GaugeId::kVoters, static_cast<double>(raft.membership().voters.size()));
    if (const auto health = groupHealth()) {
      metrics_.set(GaugeId::kVotersHeard, static_cast<double>(health->healthyVoters));
      metrics_.set(GaugeId::kVotersWanted, static_cast<double>(health->targetVoters));
    }
    metrics_.set(GaugeId::kLogBytes, static_cast<double>(log_->logBytes()));
    metrics_.set(GaugeId::kSnapshotBytes, static_cast<double>(log_->snapshotBytes()));
  }
  if (directory_) {
    updateWeightsGauges();
    updateCapacityGauges();
  }
  if (ledger_) {
    const auto& kept = ledger_->state().jobs();
    const auto open = std::count_if(kept.begin(), kept.end(),
                                    [](const auto& entry) { return !entry.second.finished(); });
    metrics_.set(GaugeId::kKeptJobs, static_cast<double>(kept.size()));
    metrics_.set(GaugeId::kOpenJobs, static_cast<double>(open));
    for (const auto& [model, error] : ledger_->forecast().errors()) {
      metrics_.set(GaugeId::kLengthForecastError, model, error);
    }
  }
  if (m_gatewayServer) {
    m_gatewayServer->updateGauges(metrics_);
  }
}

}  // namespace tackpick::node
