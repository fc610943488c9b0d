/// \file
/// What gateways, ledgers, instances and operators ask of the controllers of a cluster that forms
/// itself, and what goes through the controllers' log.
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

/// One process of ours.
struct NodeRecord {
  base::NodeId node;
  NodeRole role = NodeRole::kGateway;
  std::string name;
  std::string zone;
  std::string controlAddress;  ///< host:port of its control interface; controllers only

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, role, name, zone, controlAddress);
  }
};

/// One run of an engine or server process. A restart is another instance, also under the same name.
struct InstanceRecord {
  std::string id;  ///< key of its Incarnation
  std::string service;
  std::string host;  ///< an IP number
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;  ///< gets no new work, ever
  /// The platform may take it away at short notice.
  bool preemptible = false;
  /// Until a draining instance ends, from when that was first heard; zero: it ends when it is done.
  base::Duration timeToTermination{0};

  bool operator==(const InstanceRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, host, port, zone, slots, draining, preemptible, timeToTermination);
  }
};

/// True when a heartbeat with `heard` changes nothing of the registration `known`.
[[nodiscard]] inline bool confirmsRegistration(const InstanceRecord& known,
                                               const InstanceRecord& heard) {
  return known.service == heard.service && known.host == heard.host && known.port == heard.port &&
         known.slots == heard.slots && known.zone == heard.zone &&
         (known.preemptible || !heard.preemptible) && (known.draining || !heard.draining) &&
         (known.timeToTermination > base::Duration{0} ||
          heard.timeToTermination == base::Duration{0});
}

/// An instance as gateways see it.
struct InstanceView {
  InstanceRecord record;
  bool unresponsive = false;                      ///< heartbeats are overdue: it may be dead
  std::map<std::string, std::uint64_t> versions;  ///< weights by model
  bool loading = false;  ///< it was ordered to change weights and has not reported them
  bool standby = false;  ///< no model needs it now: it gets work only when the others are full

  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, unresponsive, versions, loading, standby);
  }
};

// Requests.

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
  std::uint64_t sequence = 0;  ///< rises with each; a lower one came late
  std::map<std::string, std::uint64_t> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record, sequence, versions);
  }
};

struct DeregisterInstance {
  std::string id;  ///< without a start: the newest incarnation of that name
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

/// A node reports itself and asks for what changed; the answer is held back for a while when
/// nothing did.
struct Watch {
  NodeRecord node;
  std::uint64_t configurationVersion = 0;  ///< in force there
  std::uint64_t revision = 0;              ///< of the view it has
  base::Duration hold{0};
  /// From the ledgers' leader: who belongs to its group, once no change of that is under way.
  std::optional<consensus::Membership> ledgerMembership;
  /// From gateways: recent work by model (see ModelDemand).
  std::map<std::string, double> recentDemand;
  /// From the ledgers' leader only.
  std::optional<jobs::OpenJobsByModel> openJobs;
  duties::GatewayUsage usage;  ///< from gateways
  base::WallTime clock;        ///< what the node's clock shows
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, configurationVersion, revision, hold, ledgerMembership, recentDemand, openJobs,
            usage, clock);
  }
};

/// Asks that a ledger machine be emptied, so that it can be taken away.
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

/// What a gateway has counted, between two watches.
struct ReportUsage {
  duties::GatewayUsage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(usage);
  }
};

/// What is open at the ledgers, told by their leader as soon as a job comes or ends.
struct ReportOpenJobs {
  jobs::OpenJobsByModel openJobs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(openJobs);
  }
};

/// A heartbeat that only confirms a registration.
struct RelayedHeartbeat {
  std::string id;
  std::uint64_t sequence = 0;
  /// Nothing: they are those that were told last.
  std::optional<std::map<std::string, std::uint64_t>> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, sequence, versions);
  }
};

/// Heartbeats that another controller has answered.
struct RelayHeartbeats {
  std::vector<RelayedHeartbeat> heartbeats;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(heartbeats);
  }
};

/// An operator asks where the weights of all models stand.
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

// Answers.

enum class DirectoryStatus : std::uint8_t {
  kDone,
  kInvalid,   ///< breaks a rule: `text` says which
  kNotFound,  ///< nothing of that name
  kConflict,  ///< too few would remain
  kRunning,   ///< begun and not finished
};

/// A ledger as the leading controller hears it.
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

/// Revisions of different leaders must not be confused: the bits from here up are the leader's
/// term.
inline constexpr unsigned kRevisionTermShift = 40;

/// What a node learns from a watch.
struct DirectoryView {
  std::uint64_t revision = 0;
  bool isFull = true;                          ///< else `instances` and `removed` are changes
  std::uint64_t since = 0;                     ///< ... to the view of this revision
  std::vector<std::string> removed;            ///< ids of instances that are gone
  std::optional<Configuration> configuration;  ///< when newer than the node's
  std::uint64_t configurationVersion = 0;
  std::vector<InstanceView> instances;
  std::map<std::string, std::uint64_t> publishedVersions;
  std::vector<base::NodeId> controllers;
  std::vector<LedgerSummary> ledgers;
  std::set<base::NodeId> initialLedgerVoters;  ///< first voters; empty until decided
  /// Of the ledgers' group, as its leader last reported them; empty until it has.
  std::set<base::NodeId> ledgerVoters;
  std::uint32_t gateways = 1;  ///< heard of lately
  bool allNodesSeen = false;   ///< the leader has led long enough to have heard of every node
  /// Usage of earlier windows is decided; zero: none is.
  duties::WindowNumber firstOpenUsageWindow = 0;
  std::vector<quarantine::HeldRequest> heldRequests;  ///< by fingerprint
  base::WallTime clusterTime;  ///< when this was told: true time, as the leader sees it

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision, isFull, since, removed, configuration, configurationVersion, instances,
            publishedVersions, controllers, ledgers, initialLedgerVoters, ledgerVoters, gateways,
            allNodesSeen, firstOpenUsageWindow, heldRequests, clusterTime);
  }
};

struct DirectoryReply {
  DirectoryStatus status = DirectoryStatus::kDone;
  std::string text;  ///< a document, an address, or what is wrong
  std::optional<DirectoryView> view;
  /// Instead of `view`: the same, encoded and compressed. Nodes that hold the same get the same
  /// bytes: whole views of 3,000 instances are 1 MB each, and after a change of leader 300 nodes
  /// want one at once.
  base::Bytes compressedView = {};
  std::vector<quarantine::HoldSummary> holds = {};  ///< answers ReadQuarantine
  std::vector<duties::PoolSummary> capacity = {};   ///< answers ReadCapacity
  /// Answers ReadWeights; nothing while a new leader has not begun to decide.
  std::optional<WeightsSummary> weights = {};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, text, view, compressedView, holds, capacity, weights);
  }
};

/// Packs the reply's view.
void compressView(DirectoryReply& reply);
/// The reply's view, unpacked where it is packed; nothing when it has none or it is damaged.
[[nodiscard]] std::optional<DirectoryView> decodeView(const DirectoryReply& reply);

// Through the log.

struct RegisterInstance {
  InstanceRecord record;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(record);
  }
};

/// It left.
struct RemoveInstance {
  std::string id;
  bool final = false;  ///< a late heartbeat of it must not bring it back
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, final);
  }
};

/// Instances that have been unresponsive for so long that they are taken for dead. In one entry,
/// since those that are lost together are unresponsive together.
struct ForgetInstances {
  std::vector<std::string> ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids);
  }
};

/// The weights that one instance holds, by model.
struct HeldVersions {
  std::string id;
  std::map<std::string, std::uint64_t> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, versions);
  }
};

/// The weights that instances hold, so that a new leader need not wait for heartbeats. Many in one
/// entry: a version of weights changes hundreds of instances within a second.
struct RecordVersions {
  std::vector<HeldVersions> instances;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(instances);
  }
};

/// The model that an engine follows; empty: none.
struct EngineAssignment {
  std::string id;
  std::string model;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, model);
  }
};

/// Which models engines follow. A leader that had to find that anew, from weights and from work
/// that it has not heard of yet, could leave a model without engines.
struct RecordAssignments {
  std::vector<EngineAssignment> changed;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(changed);
  }
};

/// `holder` is about to give orders to engines.
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
    ReplaceConfiguration, RegisterInstance, RemoveInstance, ForgetInstances, PublishVersion,
    BootstrapLedgers, BeginRetirement, CompleteRetirement, RecordVersions, ClaimCommandLease,
    duties::StartUsageReporting, duties::RecordUsage, duties::FinalizeUsage, duties::ConfirmUsage,
    RecordAssignments, quarantine::HoldRequest, quarantine::RecordTrial, quarantine::ReleaseRequest,
    duties::RecordBaseline, duties::SetCapacity, duties::ConfirmCapacity>;

}  // namespace tackpick::directory
