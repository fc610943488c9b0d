#include "cluster/cluster_member.h"

#include <utility>

namespace tackpick::cluster {
namespace {

constexpr base::Duration kCallResendInterval = base::milliseconds(300);
/// Bit that distinguishes the ids of calls to a specific ledger from those of calls to the leader.
constexpr std::uint64_t kReplicaCallFlag = std::uint64_t{1} << 62U;
/// Time without contact after which a ledger is not called.
constexpr base::Duration kLedgerTimeout = base::milliseconds(2500);

consensus::GroupClientSettings clientSettings(base::GroupId group,
                                              std::vector<base::NodeId> replicas) {
  consensus::GroupClientSettings settings;
  settings.group = group;
  settings.replicas = std::move(replicas);
  settings.resendInterval = kCallResendInterval;
  return settings;
}

}  // namespace

ClusterMember::ClusterMember(directory::NodeRecord self, ClusterMemberSettings settings,
                             base::CallId firstCall)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      directory_(clientSettings(settings_.directoryGroup, settings_.seeds), firstCall),
      ledgers_(clientSettings(settings_.ledgerGroup, {}), firstCall),
      m_replicaClient(clientSettings(settings_.ledgerGroup, {}),
                      base::CallId{firstCall.value ^ kReplicaCallFlag}) {}

void ClusterMember::onResponse(const transport::CommandResponse& response, base::TimePoint now) {
  if (response.group == settings_.directoryGroup) {
    directory_.onResponse(response, now, outbox_);
  } else if (response.group == settings_.ledgerGroup) {
    ledgers_.onResponse(response, now, outbox_);
    m_replicaClient.onResponse(response, now, outbox_);
  }
}

void ClusterMember::onPeerLost(std::uint32_t number) {
  directory_.onPeerLost(number);
  ledgers_.onPeerLost(number);
  m_replicaClient.onPeerLost(number);
}

void ClusterMember::tick(base::TimePoint now) {
  directory_.tick(now, outbox_);
  ledgers_.tick(now, outbox_);
  m_replicaClient.tick(now, outbox_);
  if (!m_watchInFlight) {
    watch(now);
  }
}

void ClusterMember::watch(base::TimePoint now) {
  m_watchInFlight = true;
  const base::TimePoint sentAt = now;
  directory::Watch request;
  request.node = self_;
  request.configurationVersion = configuration_.version;
  request.revision = view_.revision;
  request.hold = settings_.watchMaxWait;
  if (m_ledgerMembershipSource) {
    request.ledgerMembership = m_ledgerMembershipSource();
  }
  if (m_recentWorkSource) {
    request.recentDemand = m_recentWorkSource();
  }
  if (m_openJobsSource) {
    request.openJobs = m_openJobsSource();
  }
  if (m_usageSource) {
    request.usage = m_usageSource();
  }
  if (clock_ != nullptr) {
    request.clock = clock_->wallNow();
  }
  directory_.call(
      transport::CommandKind::kLeaderCall, base::encode(directory::DirectoryRequest{request}), now,
      outbox_,
      [this, sentAt](const base::Bytes* result, base::TimePoint at) {
        m_watchInFlight = false;
        const auto reply =
            result == nullptr ? std::nullopt : base::decode<directory::DirectoryReply>(*result);
        auto update = reply ? directory::decodeView(*reply) : std::nullopt;
        if (update) {
          m_configurationConfirmedAt = sentAt;
          applyUpdate(std::move(*update), at);
          watch(at);
        }
      },
      consensus::CallTimeouts{settings_.watchResendInterval, settings_.watchTimeout});
}

void ClusterMember::applyUpdate(directory::DirectoryView update, base::TimePoint now) {
  m_lastContactAt = now;
  // A delayed view of an earlier leader must not restore an older configuration.
  if (update.configuration && update.configuration->version > configuration_.version) {
    configuration_ = *update.configuration;
    // The handler is called even if the incremental view does not apply: the next watch reports
    // this version, so the controllers do not send the configuration again.
    if (m_onConfiguration) {
      m_onConfiguration(configuration_);
    }
  }
  if (!update.isFull && update.baseRevision != view_.revision) {
    requestFullView();  // The changes are relative to another view.
    return;
  }
  storeView(update);
  std::vector<base::NodeId> seeds;
  for (const base::NodeId seed : settings_.seeds) {
    bool isListed = false;
    for (const base::NodeId controller : update.controllers) {
      isListed = isListed || base::nodeNumber(controller) == base::nodeNumber(seed);
    }
    if (!isListed) {
      seeds.push_back(seed);
    }
  }
  directory_.setReplicas(update.controllers, std::move(seeds));
  ledgers_.setReplicas(ledgerTargets());
  if (on_view_) {
    on_view_(update);
  }
}

std::vector<base::NodeId> ClusterMember::ledgerTargets() {
  if (!view_.ledgerVoters.empty()) {
    // Otherwise the last known voters are kept, since a new leader of the controllers initially
    // reports none.
    ledger_voters_ = view_.ledgerVoters;
  } else if (ledger_voters_.empty()) {
    ledger_voters_ = view_.initialLedgerVoters;
  }
  std::vector<base::NodeId> voters;
  std::vector<base::NodeId> responsive;
  for (const directory::LedgerSummary& summary : view_.ledgers) {
    if (summary.silence >= kLedgerTimeout) {
      continue;
    }
    responsive.push_back(summary.node);
    if (ledger_voters_.contains(summary.node)) {
      voters.push_back(summary.node);
    }
  }
  return voters.empty() ? responsive : voters;
}

void ClusterMember::storeView(directory::DirectoryView& update) {
  std::vector<directory::InstanceView> instances = std::exchange(update.instances, {});
  std::vector<std::string> removed = std::exchange(update.removed, {});
  update.configuration.reset();
  view_ = update;
  update.instances = std::move(instances);
  update.removed = std::move(removed);
}

base::NodeId ClusterMember::zoneLedger() const {
  const directory::LedgerSummary* nearest = nullptr;
  for (const directory::LedgerSummary& summary : view_.ledgers) {
    const bool member = ledger_voters_.empty() || ledger_voters_.contains(summary.node);
    const bool usable = member && summary.zone == self_.zone && !summary.retiring &&
                        summary.silence < kLedgerTimeout;
    if (usable && (nearest == nullptr || summary.silence < nearest->silence)) {
      nearest = &summary;
    }
  }
  return nearest == nullptr ? base::NodeId{} : nearest->node;
}

void ClusterMember::call(const directory::DirectoryRequest& request, base::Duration deadline,
                         base::TimePoint now, DirectoryCallback callback) {
  directory_.call(
      transport::CommandKind::kLeaderCall, base::encode(request), now, outbox_,
      [callback = std::move(callback)](const base::Bytes* result, base::TimePoint) {
        const auto reply =
            result == nullptr ? std::nullopt : base::decode<directory::DirectoryReply>(*result);
        callback(reply ? &*reply : nullptr);
      },
      consensus::CallTimeouts{kCallResendInterval, deadline});
}

void ClusterMember::call(const jobs::JobRequest& request, base::Duration deadline,
                         base::TimePoint now, JobCallback callback) {
  const auto* read = std::get_if<jobs::ReadJob>(&request);
  const base::Duration resend =
      kCallResendInterval + (read == nullptr ? base::Duration{0} : read->maxWait);
  callLedgers(ledgers_, request, {resend, deadline}, now, std::move(callback));
}

void ClusterMember::callReplica(base::NodeId ledger, const jobs::JobRequest& request,
                                base::Duration deadline, base::TimePoint now,
                                JobCallback callback) {
  m_replicaClient.setReplicas({ledger});
  callLedgers(m_replicaClient, request, {deadline, deadline}, now, std::move(callback));
}

void ClusterMember::callLedgers(consensus::GroupClient& client, const jobs::JobRequest& request,
                                consensus::CallTimeouts timeouts, base::TimePoint now,
                                JobCallback callback) {
  client.call(
      transport::CommandKind::kLeaderCall, base::encode(request), now, outbox_,
      [&client, callback = std::move(callback)](const base::Bytes* result, base::TimePoint) {
        auto reply = result == nullptr ? std::nullopt : base::decode<jobs::JobReply>(*result);
        if (reply) {
          reply->mayBeRepeated = client.anotherCopyMayArrive();
        }
        callback(reply ? &*reply : nullptr);
      },
      timeouts);
}

}  // namespace tackpick::cluster
