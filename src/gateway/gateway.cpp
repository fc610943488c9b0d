#include "gateway/gateway.h"

#include <utility>

namespace tackpick::gateway {
namespace {

/// Call numbers of two runs of a gateway never meet.
base::CallId firstCall(const GatewaySettings& settings, std::uint64_t stream) {
  return {base::mix(base::mix(settings.self.value, settings.incarnation.value), stream)};
}

ControlViewSettings viewSettings(const GatewaySettings& settings) {
  ControlViewSettings view;
  view.incarnation = settings.incarnation;
  view.controllers = settings.controllers;
  view.watchInterval = settings.watchInterval;
  view.mutants = settings.viewMutants;
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
      view_(viewSettings(settings_)),
      engines_(settings_.engines),
      selector_(settings_.selector, random),
      outliers_(settings_.outliers),
      queue_(settings_.queue),
      retry_budget_(settings_.retryRatio, settings_.retryReserve),
      control_(clientSettings(settings_.controlGroup, settings_.controllers),
               firstCall(settings_, settings_.controlGroup.value)),
      started_at_(now),
      rate_at_(now) {
  for (const LedgerGroup& group : settings_.ledgers) {
    LedgerLink link;
    link.client = std::make_unique<consensus::GroupClient>(
        clientSettings(group.group, group.replicas), firstCall(settings_, group.group.value));
    ledgers_.push_back(std::move(link));
  }
}

void Gateway::onMessage(base::NodeId from, const transport::InternalMessage& message,
                        base::TimePoint now) {
  if (const auto* response = std::get_if<transport::WatchResponse>(&message)) {
    const base::Revision before = view_.revision();
    view_.onWatchResponse(from, *response, now, actions_.messages);
    if (response->delta.to >= before) {
      engines_.apply(withOwnEngines(response->delta));
    }
    dispatch(now);
  } else if (const auto* redirect = std::get_if<transport::WatchRedirect>(&message)) {
    view_.onRedirect(from, *redirect);
  } else if (const auto* answer = std::get_if<transport::CommandResponse>(&message)) {
    if (answer->group == control_.group()) {
      control_.onResponse(*answer, now, actions_.messages);
      return;
    }
    for (LedgerLink& link : ledgers_) {
      if (link.client->group() == answer->group) {
        link.client->onResponse(*answer, now, actions_.messages);
      }
    }
  }
}

void Gateway::tick(base::TimePoint now) {
  if (!left_) {
    view_.tick(now, actions_.messages);
  }
  control_.tick(now, actions_.messages);
  for (LedgerLink& link : ledgers_) {
    link.client->tick(now, actions_.messages);
  }
  pollEngines(now);
  expireJobs(now);
  leaseSamples(now);
  dispatch(now);
  hedgeSlowSamples(now);
  constexpr base::Duration kRateInterval = base::milliseconds(500);
  if (now - rate_at_ >= kRateInterval) {
    constexpr double kWeight = 0.3;
    const double rate = static_cast<double>(counters_.tokensReceived - tokens_at_rate_) /
                        base::toSeconds(now - rate_at_);
    tokens_per_second_ += kWeight * (rate - tokens_per_second_);
    tokens_at_rate_ = counters_.tokensReceived;
    rate_at_ = now;
  }
  if (draining_ && isDrained() && !left_) {
    left_ = true;
    view_.leave(now, actions_.messages);
  }
}

void Gateway::beginDrain(base::TimePoint now) {
  if (draining_) {
    return;
  }
  draining_ = true;
  returnWaitingSamples(now);
  if (settings_.mutants.dropOnDrain) {
    std::vector<JobId> running;
    for (const auto& [id, job] : jobs_) {
      if (job.caller) {
        running.push_back(id);
      }
    }
    for (const JobId id : running) {
      giveUp(jobs_.at(id), RejectionReason::kStopping, "stopping", now);
    }
  }
}

bool Gateway::isDrained() const {
  if (!draining_ || !jobs_.empty()) {
    return false;
  }
  for (const LedgerLink& link : ledgers_) {
    if (link.client->outstanding() > 0) {
      return false;
    }
  }
  return true;
}

void Gateway::callLedger(const base::BatchId& batch, transport::CommandKind kind,
                         base::Bytes payload, base::TimePoint now,
                         consensus::GroupClient::Callback callback) {
  callGroup(*ledgerFor(base::hashBytes(batch.value)).client, kind, std::move(payload), now,
            std::move(callback));
}

void Gateway::callControllers(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                              consensus::GroupClient::Callback callback) {
  callGroup(control_, kind, std::move(payload), now, std::move(callback));
}

void Gateway::callGroup(consensus::GroupClient& client, transport::CommandKind kind,
                        base::Bytes payload, base::TimePoint now,
                        consensus::GroupClient::Callback callback) {
  client.call(kind, std::move(payload), now, actions_.messages, std::move(callback));
}

Gateway::LedgerLink& Gateway::ledgerFor(std::uint64_t hash) {
  return ledgers_.at(hash % ledgers_.size());
}

Gateway::LedgerLink& Gateway::ledgerOf(base::GroupId group) {
  for (LedgerLink& link : ledgers_) {
    if (link.client->group() == group) {
      return link;
    }
  }
  return ledgers_.front();
}

void Gateway::refuse(const RejectRequest& refusal) {
  if (refusal.verdict == base::Verdict::kNotRun) {
    ++counters_.requestsRefusedNotRun;
  } else {
    ++counters_.requestsIndeterminate;
  }
  actions_.actions.emplace_back(refusal);
}

std::uint64_t Gateway::uniqueNumber() {
  ++counter_;
  return base::mix(base::mix(settings_.self.value, settings_.incarnation.value), counter_);
}

}  // namespace tackpick::gateway
