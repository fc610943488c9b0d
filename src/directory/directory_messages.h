/// \file
/// Requests to the controllers of a self-formed cluster, their replies, and the commands in the
/// controllers' log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"
#include "consensus/raft_types.h"
#include "directory/configuration.h"
#include "directory/weights_summary.h"
#include "duties/capacity_messages.h"
#include "duties/usage_messages.h"
#include "jobs/open_jobs.h"
#include "quarantine/quarantine_messages.h"

namespace tackpick::directory {

enum class NodeRole : std::uint8_t { kController, kLedger, kGateway };

/// A controller, ledger or gateway process.
struct NodeRecord {
  base::NodeId node;
  NodeRole role = NodeRole::kGateway;
  std::string name;
  std::string zone;
  std::string controlAddress;  ///< host:port of the control interface; controllers only

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, role, name, zone, controlAddress);
  }
};

/// One run of an engine or server process. A restarted process is another instance, even under the
/// same name.
struct InstanceRecord {
  std::string id;  ///< key of its Incarnation
  std::string service;
  std::string host;  ///< an IP address
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;  ///< gets no new work until it terminates
  /// Whether the platform may terminate it at short notice.
  bool preemptible = false;
  /// Time from the first report of draining until termination; zero if the instance terminates when
  /// its work is done.
  base::Duration timeToTermination{0};

  bool operator==(const InstanceRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, host, port, zone, slots, draining, preemptible, timeToTermination);
  }
};

/// Whether a heartbeat with the record `reported` changes nothing in the registration `known`.
[[nodiscard]] inline bool matchesRegistration(const InstanceRecord& known,
                                              const InstanceRecord& reported) {
  return known.service == reported.service && known.host == reported.host &&
         known.port == reported.port && known.slots == reported.slots &&
         known.zone == reported.zone && (known.preemptible || !reported.preemptible) &&
         (known.draining || !reported.draining) &&
         (known.timeToTermination > base::Duration{0} ||
          reported.timeToTermination == base::Duration{0});
}

/// State of an instance as sent to gateways.
struct InstanceView {
  InstanceRecord record;
  bool unresponsive = false;                      ///< heartbeats are overdue
  std::map<std::string, std::uint64_t> versions;  ///< weights version by model
  bool loading = false;  ///< it was sent a load command and has not reported the version
  bool standby = false;  ///< gets work only when the other engines are full

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, unresponsive, versions, loading, standby);
  }
};

// Requests

struct ReplaceConfiguration {
  Configuration configuration;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration);
  }
};

struct ReadConfiguration {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

/// An instance's heartbeat.
struct InstanceHeartbeat {
  InstanceRecord record;
  std::uint64_t sequence = 0;  ///< increases with each heartbeat
  std::map<std::string, std::uint64_t> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, sequence, versions);
  }
};

struct DeregisterInstance {
  std::string id;  ///< selects the newest incarnation if it has no start time
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

struct PublishVersion {
  std::string model;
  std::uint64_t version = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, version);
  }
};

/// Reports a node and requests changes of the view. The reply is delayed up to `hold` if nothing
/// has changed.
struct Watch {
  NodeRecord node;
  std::uint64_t configurationVersion = 0;  ///< version that the node applies
  std::uint64_t revision = 0;              ///< revision of the view that the node holds
  base::Duration hold{0};
  /// From the ledgers' leader only: membership of its group while no change of it is in progress.
  std::optional<consensus::Membership> ledgerMembership;
  /// From gateways only: recent demand by model (see ModelDemand).
  std::map<std::string, double> recentDemand;
  /// From the ledgers' leader only: open jobs.
  std::optional<jobs::OpenJobsByModel> openJobs;
  duties::GatewayUsage usage;  ///< from gateways only
  base::WallTime clock;        ///< wall clock of the node
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, configurationVersion, revision, hold, ledgerMembership, recentDemand, openJobs,
            usage, clock);
  }
};

/// Requests that a ledger machine be emptied so that it can be removed.
struct RetireNode {
  std::string name;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
  }
};

struct ReadRetirement {
  std::string name;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
  }
};

/// Usage that a gateway has counted since its last watch.
struct ReportUsage {
  duties::GatewayUsage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(usage);
  }
};

/// Open jobs, sent by the ledgers' leader as soon as a job is submitted or ends.
struct ReportOpenJobs {
  jobs::OpenJobsByModel openJobs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(openJobs);
  }
};

/// A heartbeat that changes nothing in the registration.
struct RelayedHeartbeat {
  std::string id;
  std::uint64_t sequence = 0;
  /// std::nullopt if unchanged since the last relayed heartbeat.
  std::optional<std::map<std::string, std::uint64_t>> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, sequence, versions);
  }
};

/// Heartbeats that another controller has acknowledged.
struct RelayHeartbeats {
  std::vector<RelayedHeartbeat> heartbeats;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(heartbeats);
  }
};

/// Requests the weights summary of all models.
struct ReadWeights {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

using DirectoryRequest =
    std::variant<ReplaceConfiguration, ReadConfiguration, InstanceHeartbeat, DeregisterInstance,
                 PublishVersion, Watch, RetireNode, ReadRetirement, ReportUsage, RelayHeartbeats,
                 quarantine::ReportCrashes, quarantine::RequestTrial, quarantine::ReadQuarantine,
                 quarantine::ReleaseRequest, ReportOpenJobs, duties::ReadCapacity, ReadWeights>;

// Replies

enum class DirectoryStatus : std::uint8_t {
  kDone,
  kInvalid,   ///< the request is invalid; `text` gives the reason
  kNotFound,  ///< unknown name
  kConflict,  ///< the request conflicts with the current state; `text` gives the reason
  kRunning,   ///< started, not complete
};

/// State of a ledger as seen by the leading controller.
struct LedgerSummary {
  base::NodeId node;
  base::Duration silence{0};
  bool retiring = false;
  std::string zone = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, silence, retiring, zone);
  }
};

/// Lowest bit of the leader's term in a revision. The term distinguishes revisions of different
/// leaders.
inline constexpr unsigned kRevisionTermShift = 40;

/// View of the cluster in the reply to a watch.
struct DirectoryView {
  std::uint64_t revision = 0;
  bool isFull = true;                          ///< if false, `instances` and `removed` are changes
  std::uint64_t baseRevision = 0;              ///< revision that an incremental view applies to
  std::vector<std::string> removed;            ///< ids of removed instances
  std::optional<Configuration> configuration;  ///< set if newer than the node's
  std::uint64_t configurationVersion = 0;
  std::vector<InstanceView> instances;
  std::map<std::string, std::uint64_t> publishedVersions;
  std::vector<base::NodeId> controllers;
  std::vector<LedgerSummary> ledgers;
  std::set<base::NodeId> initialLedgerVoters;  ///< empty until decided
  /// Voters of the ledgers' group as last reported by its leader; empty before the first report.
  std::set<base::NodeId> ledgerVoters;
  std::uint32_t gateways = 1;  ///< gateways seen recently, at least 1
  bool allNodesSeen = false;   ///< the leader has led for longer than the heartbeat timeout
  /// First usage window that is not final; zero if no window is final.
  duties::WindowNumber firstOpenUsageWindow = 0;
  std::vector<quarantine::HeldRequest> heldRequests;  ///< sorted by fingerprint
  base::WallTime clusterTime;  ///< the leader's estimate of true time when the reply was sent

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, isFull, baseRevision, removed, configuration, configurationVersion, instances,
            publishedVersions, controllers, ledgers, initialLedgerVoters, ledgerVoters, gateways,
            allNodesSeen, firstOpenUsageWindow, heldRequests, clusterTime);
  }
};

struct DirectoryReply {
  DirectoryStatus status = DirectoryStatus::kDone;
  std::string text;  ///< a document, an address or an error message
  std::optional<DirectoryView> view;
  /// Replaces `view`: the same content, encoded and compressed. Nodes that hold the same revision
  /// share one encoded view: a full view of 3,000 instances has 1 MB, and after a change of leader
  /// all nodes request one.
  base::Bytes compressedView = {};
  std::vector<quarantine::HoldSummary> holds = {};  ///< reply to ReadQuarantine
  std::vector<duties::PoolSummary> capacity = {};   ///< reply to ReadCapacity
  /// Reply to ReadWeights; std::nullopt until a new leader is initialized.
  std::optional<WeightsSummary> weights = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, text, view, compressedView, holds, capacity, weights);
  }
};

/// Replaces the reply's view by its compressed encoding.
void compressView(DirectoryReply& reply);
/// Returns the reply's view, decompressed if necessary; std::nullopt if there is none or it is
/// corrupt.
[[nodiscard]] std::optional<DirectoryView> decodeView(const DirectoryReply& reply);

// Commands in the log

struct RegisterInstance {
  InstanceRecord record;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

/// Removes an instance that was deregistered.
struct RemoveInstance {
  std::string id;
  bool permanent = false;  ///< the instance must not register again
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, permanent);
  }
};

/// Removes instances whose heartbeat timeout has expired. One entry holds many, since instances
/// that fail together expire together.
struct ExpireInstances {
  std::vector<std::string> ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids);
  }
};

/// Weights versions that one instance holds, by model.
struct HeldVersions {
  std::string id;
  std::map<std::string, std::uint64_t> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, versions);
  }
};

/// Records the weights that instances hold, so that a new leader need not wait for heartbeats. One
/// entry holds many instances, since a new version changes most engines within a short time.
struct RecordVersions {
  std::vector<HeldVersions> instances;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(instances);
  }
};

/// The model that an engine is assigned to; empty if none.
struct EngineAssignment {
  std::string id;
  std::string model;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, model);
  }
};

/// Records changed engine assignments, so that a new leader starts from them. Otherwise a
/// model could have no engines until demand is reported.
struct RecordAssignments {
  std::vector<EngineAssignment> changed;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(changed);
  }
};

/// Claims the command lease: `holder` is about to send commands to engines.
struct ClaimCommandLease {
  base::NodeId holder;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder);
  }
};

struct BootstrapLedgers {
  std::set<base::NodeId> initialVoters;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(initialVoters);
  }
};

struct BeginRetirement {
  std::string name;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
  }
};

struct CompleteRetirement {
  std::string name;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name);
  }
};

using DirectoryCommand = std::variant<
    ReplaceConfiguration, RegisterInstance, RemoveInstance, ExpireInstances, PublishVersion,
    BootstrapLedgers, BeginRetirement, CompleteRetirement, RecordVersions, ClaimCommandLease,
    duties::StartUsageReporting, duties::RecordUsage, duties::FinalizeUsage, duties::ConfirmUsage,
    RecordAssignments, quarantine::HoldRequest, quarantine::RecordTrial, quarantine::ReleaseRequest,
    duties::RecordBaseline, duties::SetCapacity, duties::ConfirmCapacity>;

}  // namespace tackpick::directory
