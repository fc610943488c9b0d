#include "cluster/cluster_member.h"

#include <utility>

namespace tackpick::cluster {
namespace {

constexpr base::Duration kCallResend = base::milliseconds(300);
/// Sets the calls to a near ledger apart from those to the ledgers' leader.
constexpr std::uint64_t kNearbyCalls = std::uint64_t{1} << 62U;
/// Ledgers unresponsive for longer are not asked.
constexpr base::Duration kLedgerSilence = base::milliseconds(2500);

consensus::GroupClientSettings clientSettings(base::GroupId group,
                                              std::vector<base::NodeId> replicas) {
  consensus::GroupClientSettings settings;
  settings.group = group;
  settings.replicas = std::move(replicas);
  settings.resendInterval = kCallResend;
  return settings;
}

}  // namespace

ClusterMember::ClusterMember(directory::NodeRecord self, ClusterMemberSettings settings,
                             base::CallId firstCall)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      directory_(clientSettings(settings_.directoryGroup, settings_.seeds), firstCall),
      ledgers_(clientSettings(settings_.ledgerGroup, {}), firstCall),
      nearby_ledger_(clientSettings(settings_.ledgerGroup, {}),
                     base::CallId{firstCall.value ^ kNearbyCalls}) {}

void ClusterMember::onResponse(const transport::CommandResponse& response, base::TimePoint now) {
  if (response.group == settings_.directoryGroup) {
    directory_.onResponse(response, now, outbox_);
  } else if (response.group == settings_.ledgerGroup) {
    ledgers_.onResponse(response, now, outbox_);
    nearby_ledger_.onResponse(response, now, outbox_);
  }
}

void ClusterMember::onPeerLost(std::uint32_t number) {
  directory_.onPeerLost(number);
  ledgers_.onPeerLost(number);
  nearby_ledger_.onPeerLost(number);
}

void ClusterMember::tick(base::TimePoint now) {
  directory_.tick(now, outbox_);
  ledgers_.tick(now, outbox_);
  nearby_ledger_.tick(now, outbox_);
  if (!watching_) {
    watch(now);
  }
}

void ClusterMember::watch(base::TimePoint now) {
  watching_ = true;
  const base::TimePoint asked = now;
  directory::Watch request;
  request.node = self_;
  request.configurationVersion = configuration_.version;
  request.revision = view_.revision;
  request.hold = settings_.watchHold;
  if (ledger_membership_) {
    request.ledgerMembership = ledger_membership_();
  }
  if (work_) {
    request.recentDemand = work_();
  }
  if (m_openJobs) {
    request.openJobs = m_openJobs();
  }
  if (usage_) {
    request.usage = usage_();
  }
  if (clock_ != nullptr) {
    request.clock = clock_->wallNow();
  }
  directory_.call(
      transport::CommandKind::kLeaderCall, base::encode(directory::DirectoryRequest{request}), now,
      outbox_,
      [this, asked](const base::Bytes* result, base::TimePoint at) {
        watching_ = false;
        const auto reply =
            result == nullptr ? std::nullopt : base::decode<directory::DirectoryReply>(*result);
        auto news = reply ? directory::decodeView(*reply) : std::nullopt;
        if (news) {
          m_confirmedAt = asked;
          accept(std::move(*news), at);
          watch(at);
        }
      },
      consensus::CallTimes{settings_.watchResend, settings_.watchDeadline});
}

void ClusterMember::accept(directory::DirectoryView news, base::TimePoint now) {
  m_lastContactAt = now;
  // Views may come from an earlier leader over a slow path; a configuration never goes back.
  if (news.configuration && news.configuration->version > configuration_.version) {
    configuration_ = *news.configuration;
    // At once, whether or not the changes of instances below fit: the controllers are told with the
    // next watch that this configuration is here, and do not send it again.
    if (m_onConfiguration) {
      m_onConfiguration(configuration_);
    }
  }
  if (!news.isFull && news.since != view_.revision) {
    requestFullView();  // these are changes to another view
    return;
  }
  keep(news);
  std::vector<base::NodeId> seeds;
  for (const base::NodeId seed : settings_.seeds) {
    bool known = false;
    for (const base::NodeId controller : news.controllers) {
      known = known || base::nodeNumber(controller) == base::nodeNumber(seed);
    }
    if (!known) {
      seeds.push_back(seed);
    }
  }
  directory_.setReplicas(news.controllers, std::move(seeds));
  ledgers_.setReplicas(ledgersToAsk());
  if (on_view_) {
    on_view_(news);
  }
}

std::vector<base::NodeId> ClusterMember::ledgersToAsk() {
  if (!view_.ledgerVoters.empty()) {
    ledger_voters_ = view_.ledgerVoters;  // a new leader of the controllers knows none for a moment
  } else if (ledger_voters_.empty()) {
    ledger_voters_ = view_.initialLedgerVoters;
  }
  std::vector<base::NodeId> voters;
  std::vector<base::NodeId> heard;
  for (const directory::LedgerSummary& summary : view_.ledgers) {
    if (summary.silence >= kLedgerSilence) {
      continue;
    }
    heard.push_back(summary.node);
    if (ledger_voters_.contains(summary.node)) {
      voters.push_back(summary.node);
    }
  }
  return voters.empty() ? heard : voters;
}

void ClusterMember::keep(directory::DirectoryView& news) {
  std::vector<directory::InstanceView> instances = std::exchange(news.instances, {});
  std::vector<std::string> removed = std::exchange(news.removed, {});
  news.configuration.reset();
  view_ = news;
  news.instances = std::move(instances);
  news.removed = std::move(removed);
}

base::NodeId ClusterMember::zoneLedger() const {
  const directory::LedgerSummary* nearest = nullptr;
  for (const directory::LedgerSummary& summary : view_.ledgers) {
    const bool member = ledger_voters_.empty() || ledger_voters_.contains(summary.node);
    const bool usable = member && summary.zone == self_.zone && !summary.retiring &&
                        summary.silence < kLedgerSilence;
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
      consensus::CallTimes{kCallResend, deadline});
}

void ClusterMember::call(const jobs::JobRequest& request, base::Duration deadline,
                         base::TimePoint now, JobCallback callback) {
  const auto* read = std::get_if<jobs::ReadJob>(&request);
  const base::Duration resend = kCallResend + (read == nullptr ? base::Duration{0} : read->hold);
  callLedgers(ledgers_, request, {resend, deadline}, now, std::move(callback));
}

void ClusterMember::callReplica(base::NodeId ledger, const jobs::JobRequest& request,
                                base::Duration deadline, base::TimePoint now,
                                JobCallback callback) {
  nearby_ledger_.setReplicas({ledger});
  callLedgers(nearby_ledger_, request, {deadline, deadline}, now, std::move(callback));
}

void ClusterMember::callLedgers(consensus::GroupClient& client, const jobs::JobRequest& request,
                                consensus::CallTimes times, base::TimePoint now,
                                JobCallback callback) {
  client.call(
      transport::CommandKind::kLeaderCall, base::encode(request), now, outbox_,
      [callback = std::move(callback)](const base::Bytes* result, base::TimePoint) {
        const auto reply = result == nullptr ? std::nullopt : base::decode<jobs::JobReply>(*result);
        callback(reply ? &*reply : nullptr);
      },
      times);
}

}  // namespace tackpick::cluster
