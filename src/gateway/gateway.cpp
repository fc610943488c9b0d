#include "gateway/gateway.h"

#include <utility>

namespace tackpick::gateway {
namespace {

/// Returns the first call id of a client. Different runs of a gateway use different call ids.
base::CallId initialCallId(const GatewaySettings& settings, std::uint64_t stream) {
  return {base::mix(base::mix(settings.self.value, settings.incarnation.value), stream)};
}

ControlViewSettings viewSettings(const GatewaySettings& settings) {
  ControlViewSettings view;
  view.incarnation = settings.incarnation;
  view.controllers = settings.controllers;
  view.watchInterval = settings.watchInterval;
  view.mutants = settings.controlViewMutants;
  return view;
}

consensus::GroupClientSettings clientSettings(base::GroupId group,
                                              std::vector<base::NodeId> replicas) {
  consensus::GroupClientSettings client;
  client.group = group;
  client.replicas = std::move(replicas);
  return client;
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, base::Random& random, base::TimePoint now)
    : settings_(std::move(settings)),
      random_(random),
      m_controlView(viewSettings(settings_)),
      engines_(settings_.engines),
      selector_(settings_.selector, random),
      outliers_(settings_.outliers),
      queue_(settings_.queue),
      retry_budget_(settings_.retryRatio, settings_.retryBurst),
      m_controllerClient(clientSettings(settings_.controlGroup, settings_.controllers),
                         initialCallId(settings_, settings_.controlGroup.value)),
      started_at_(now),
      m_rateMeasuredAt(now) {
  for (const LedgerGroup& group : settings_.ledgers) {
    LedgerGroupState groupState;
    groupState.client = std::make_unique<consensus::GroupClient>(
        clientSettings(group.group, group.replicas), initialCallId(settings_, group.group.value));
    ledgers_.push_back(std::move(groupState));
  }
}

void Gateway::onMessage(base::NodeId from, const transport::InternalMessage& message,
                        base::TimePoint now) {
  if (const auto* response = std::get_if<transport::WatchResponse>(&message)) {
    const base::Revision previousRevision = m_controlView.revision();
    m_controlView.onWatchResponse(from, *response, now, actions_.messages);
    if (response->delta.to >= previousRevision) {
      engines_.apply(filterEngines(response->delta));
    }
    dispatch(now);
  } else if (const auto* redirect = std::get_if<transport::WatchRedirect>(&message)) {
    m_controlView.onRedirect(from, *redirect);
  } else if (const auto* commandResponse = std::get_if<transport::CommandResponse>(&message)) {
    if (commandResponse->group == m_controllerClient.group()) {
      m_controllerClient.onResponse(*commandResponse, now, actions_.messages);
      return;
    }
    for (LedgerGroupState& groupState : ledgers_) {
      if (groupState.client->group() == commandResponse->group) {
        groupState.client->onResponse(*commandResponse, now, actions_.messages);
      }
    }
  }
}

void Gateway::tick(base::TimePoint now) {
  if (!m_leaseReleased) {
    m_controlView.tick(now, actions_.messages);
  }
  m_controllerClient.tick(now, actions_.messages);
  for (LedgerGroupState& groupState : ledgers_) {
    groupState.client->tick(now, actions_.messages);
  }
  pollEngines(now);
  expireTasks(now);
  leaseSamples(now);
  dispatch(now);
  hedgeSlowSamples(now);
  constexpr base::Duration kRateInterval = base::milliseconds(500);
  if (now - m_rateMeasuredAt >= kRateInterval) {
    constexpr double kSmoothingFactor = 0.3;
    const double rate = static_cast<double>(counters_.tokensReceived - m_tokensAtRateMeasurement) /
                        base::toSeconds(now - m_rateMeasuredAt);
    tokens_per_second_ += kSmoothingFactor * (rate - tokens_per_second_);
    m_tokensAtRateMeasurement = counters_.tokensReceived;
    m_rateMeasuredAt = now;
  }
  if (draining_ && isDrained() && !m_leaseReleased) {
    m_leaseReleased = true;
    m_controlView.releaseLease(now, actions_.messages);
  }
}

void Gateway::beginDrain(base::TimePoint now) {
  if (draining_) {
    return;
  }
  draining_ = true;
  returnQueuedSamples(now);
  if (settings_.mutants.abortOnDrain) {
    std::vector<TaskId> running;
    for (const auto& [id, task] : m_tasks) {
      if (task.caller) {
        running.push_back(id);
      }
    }
    for (const TaskId id : running) {
      failTask(m_tasks.at(id), RejectionReason::kStopping, "stopping", now);
    }
  }
}

bool Gateway::isDrained() const {
  if (!draining_ || !m_tasks.empty()) {
    return false;
  }
  for (const LedgerGroupState& groupState : ledgers_) {
    if (groupState.client->outstanding() > 0) {
      return false;
    }
  }
  return true;
}

void Gateway::callLedger(const base::BatchId& batch, transport::CommandKind kind,
                         base::Bytes payload, base::TimePoint now,
                         consensus::GroupClient::Callback callback) {
  callGroup(*ledgerByHash(base::hashBytes(batch.value)).client, kind, std::move(payload), now,
            std::move(callback));
}

void Gateway::callControllers(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                              consensus::GroupClient::Callback callback) {
  callGroup(m_controllerClient, kind, std::move(payload), now, std::move(callback));
}

void Gateway::callGroup(consensus::GroupClient& client, transport::CommandKind kind,
                        base::Bytes payload, base::TimePoint now,
                        consensus::GroupClient::Callback callback) {
  client.call(kind, std::move(payload), now, actions_.messages, std::move(callback));
}

Gateway::LedgerGroupState& Gateway::ledgerByHash(std::uint64_t hash) {
  return ledgers_.at(hash % ledgers_.size());
}

Gateway::LedgerGroupState& Gateway::ledgerByGroup(base::GroupId group) {
  for (LedgerGroupState& groupState : ledgers_) {
    if (groupState.client->group() == group) {
      return groupState;
    }
  }
  return ledgers_.front();
}

void Gateway::reject(const RejectRequest& rejection) {
  if (rejection.verdict == base::Verdict::kNotRun) {
    ++counters_.requestsRefusedNotRun;
  } else {
    ++counters_.requestsIndeterminate;
  }
  actions_.actions.emplace_back(rejection);
}

std::uint64_t Gateway::nextUniqueId() {
  ++m_lastId;
  return base::mix(base::mix(settings_.self.value, settings_.incarnation.value), m_lastId);
}

}  // namespace tackpick::gateway
