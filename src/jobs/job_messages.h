/// \file
/// Messages about jobs, which are batches of opaque items that engines run and whose results the
/// ledgers store: requests of gateways to the ledgers' leader, and replicated commands.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/compressed_text.h"
#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"
#include "jobs/event_interval_report.h"
#include "jobs/free_slots.h"
#include "jobs/gateway_capacity.h"
#include "jobs/work_report.h"

namespace tackpick::jobs {

/// Request to a scorer for the score of an item's complete text. It is sent to the service of its
/// own route.
struct ScoringCall {
  std::string id;
  std::string host;
  std::string path;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, host, path, body);
  }
};

/// One item of a job: a request that an engine runs unchanged.
struct Item {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string group;                 ///< items with the same group share a prompt
  std::uint32_t expectedTokens = 0;  ///< the caller's estimate of the output length; zero: unknown
  /// The item completes only with the score of this call; std::nullopt: it needs no score.
  std::optional<ScoringCall> scoring = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, path, headers, body, group, expectedTokens, scoring);
  }
};

/// Returns the memory that an item takes.
[[nodiscard]] std::size_t memoryOf(const Item& item);

/// A job as submitted by its caller.
struct JobSubmission {
  std::string id;
  std::string tenant;  ///< owner of the job; empty: visible to all tenants
  std::string host;
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< oldest version of the weights that may run its items
  /// Number of complete groups that the caller waits for; zero: all.
  std::uint32_t requiredGroups = 0;
  std::uint32_t attempts = 1;  ///< number of reported failures after which an item may be given up
  base::Duration queueTimeout{0};  ///< time after the submission at which an item may be given up
  /// Time after the submission at which results are due; zero: no due time.
  base::Duration resultDeadline{0};
  bool singleVersion = false;
  std::uint32_t priority = 0;  ///< priority of its route; 0 is the highest
  /// Version of the configuration under which it was accepted. A gateway with an older one may not
  /// know its routes.
  std::uint64_t configurationVersion = 0;
  std::vector<Item> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant, host, model, minimumVersion, requiredGroups, attempts, queueTimeout,
            resultDeadline, singleVersion, priority, configurationVersion, items);
  }
};

/// Returns the memory that the items of a job take.
[[nodiscard]] std::size_t memoryOfItems(const JobSubmission& job);

enum class ItemState : std::uint8_t { kCompleted, kTerminated };

/// End of a saved text: the lease under which it was last extended, and its last event.
struct ProgressPoint {
  std::uint64_t lease = 0;
  std::uint64_t event = 0;

  bool operator==(const ProgressPoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, event);
  }
};

/// The result of an item.
struct ItemResult {
  std::uint32_t item = 0;  ///< its index in the job
  ItemState state = ItemState::kCompleted;
  base::CompressedText text;
  std::set<std::uint64_t> versions;  ///< versions of the weights that generated the text
  std::string score = {};            ///< score from the item's scoring call; empty if there is none
  /// In a commit: `text` continues the saved text that ends at this point. std::nullopt: `text` is
  /// complete.
  std::optional<ProgressPoint> after = std::nullopt;
  std::uint64_t events = 0;  ///< number of events of the complete text; zero: unknown

  template <class Archive>
  void serialize(Archive& archive) {
    archive(item, state, text, versions, score, after, events);
  }
};

/// Text of an unfinished item that the ledgers have saved, so that another gateway can continue it
/// after its last event.
struct PartialText {
  ProgressPoint point;
  base::CompressedText text;
  std::set<std::uint64_t> versions;  ///< versions of the weights that generated the text
  bool textComplete = false;         ///< only the score is missing

  template <class Archive>
  void serialize(Archive& archive) {
    archive(point, text, versions, textComplete);
  }
};

/// Addition to the saved text of an item.
struct ItemProgress {
  std::uint32_t item = 0;  ///< its index in the job
  /// End of the saved text that `delta` continues; std::nullopt: `delta` is the text from its
  /// beginning.
  std::optional<ProgressPoint> after;
  PartialText delta;  ///< the new text; its point is the end of the extended text

  template <class Archive>
  void serialize(Archive& archive) {
    archive(item, after, delta);
  }
};

/// Identifies an item in the cluster.
struct ItemKey {
  std::string job;
  std::uint32_t item = 0;

  auto operator<=>(const ItemKey&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, item);
  }
};

// Requests.

struct SubmitJob {
  JobSubmission job;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

/// Reads results from position `after` on; long poll: the reply is delayed while there are none.
struct ReadJob {
  std::string id;
  std::uint64_t after = 0;
  base::Duration maxWait{0};
  /// Replica from which the caller prefers to fetch large results; invalid: none.
  base::NodeId preferredReplica = {};
  std::string tenant = {};  ///< tenant on whose behalf the request is made
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, after, maxWait, preferredReplica, tenant);
  }
};

/// Fetches results at positions that the leader has announced. Any replica may reply, because the
/// result at a position never changes.
struct FetchResults {
  std::string id;
  std::uint64_t after = 0;
  std::uint64_t count = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, after, count);
  }
};

struct ReadItem {
  std::string job;
  std::string item;
  std::string tenant = {};  ///< tenant on whose behalf the request is made
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, item, tenant);
  }
};

struct EndJob {
  std::string id;
  std::string tenant = {};  ///< tenant on whose behalf the request is made
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant);
  }
};

/// An item that a gateway holds, and the engine on which it runs; empty: none at present.
struct HeldItem {
  ItemKey key;
  std::string engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, engine);
  }
};

/// Renews the leases of a gateway and requests further items. Leases are kept in the leader's
/// memory only.
struct LeaseItems {
  std::vector<HeldItem> held;
  std::map<std::string, EventIntervalReport> eventIntervals;  ///< by machine of the engine
  FreeSlots freeSlots;                                        ///< slots for further items
  bool draining = false;                   ///< all leases not listed in `held` are released
  std::string zone;                        ///< zone of the gateway
  GatewayCapacity capacity = {};           ///< capacity of the gateway
  std::uint64_t configurationVersion = 0;  ///< version that the gateway applies
  template <class Archive>
  void serialize(Archive& archive) {
    archive(held, eventIntervals, freeSlots, draining, zone, capacity, configurationVersion);
  }
};

struct JobResults {
  std::string job;
  std::vector<ItemResult> results;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, results);
  }
};

struct CommitResults {
  std::vector<JobResults> jobs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(jobs);
  }
};

struct JobProgress {
  std::string job;
  std::vector<ItemProgress> items;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, items);
  }
};

/// Saves texts of running items. A delta that does not continue the saved text is ignored.
struct SaveProgress {
  std::vector<JobProgress> jobs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(jobs);
  }
};

/// Requests a report about open work, for operators.
struct GetWorkReport {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

using JobRequest = std::variant<SubmitJob, ReadJob, ReadItem, EndJob, LeaseItems, CommitResults,
                                SaveProgress, FetchResults, GetWorkReport>;

/// Returns the request without the contents of a submission's items.
[[nodiscard]] JobRequest outlineOf(const JobRequest& request);

/// Sets the tenant on whose behalf the request is made.
void setTenant(JobRequest& request, const std::string& tenant);

// Replies.

enum class JobStatus : std::uint8_t {
  kDone,
  kNotFound,
  kNotOwner,    ///< the id of the submission is used by another tenant
  kOverloaded,  ///< the submission was not accepted, since open jobs take too much memory
};

struct ReadResult {
  std::string itemId;
  ItemResult result;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(itemId, result);
  }
};

/// A leased item, with the properties of its job.
struct LeasedItem {
  ItemKey key;
  std::uint64_t lease = 0;  ///< lease number; increases with each lease that a leader grants
  std::optional<PartialText> progress;  ///< text saved under earlier leases
  std::string engine;                   ///< engine on which it should run; empty: all are full
  Item item;
  std::string tenant;  ///< tenant of its job; empty: none
  std::string host;
  std::string model;
  std::uint64_t minimumVersion = 0;
  bool singleVersion = false;
  std::uint32_t attempts = 1;
  base::Duration age{0};  ///< time since its job was submitted
  base::Duration queueTimeout{0};
  /// Time until the job's results are due; Duration::max() if there is no due time.
  base::Duration timeUntilDue = base::Duration::max();
  /// Expected remaining events of its text; zero: unknown.
  double remainingEvents = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, lease, progress, engine, item, tenant, host, model, minimumVersion, singleVersion,
            attempts, age, queueTimeout, timeUntilDue, remainingEvents);
  }
};

struct JobReply {
  JobStatus status = JobStatus::kDone;
  std::uint64_t total = 0;          ///< number of items of the job
  std::vector<ReadResult> results;  ///< ReadJob, FetchResults
  /// ReadJob: number of results to fetch from the preferred replica
  std::uint64_t replicaResults = 0;
  std::string body;                ///< ReadItem
  std::vector<LeasedItem> leased;  ///< LeaseItems
  std::vector<ItemKey> revoked;    ///< LeaseItems: held items that need not run any more
  /// LeaseItems: the gateway is on standby and need not send requests often.
  bool standby = false;
  /// LeaseItems: number of active gateways, which share the slots of all engines
  std::uint32_t activeGateways = 0;
  /// LeaseItems with event intervals: items of all gateways, by engine.
  std::map<std::string, std::uint32_t> itemsByEngine;
  /// LeaseItems: this leader has no event intervals of the gateway; its next request should contain
  /// them.
  bool wantsEventIntervals = false;
  std::optional<WorkReport> work;  ///< GetWorkReport
  /// Whether another copy of the request may arrive later and have another outcome. Set by the
  /// process that receives the reply, not sent.
  bool mayBeRepeated = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, total, results, replicaResults, body, leased, revoked, standby, activeGateways,
            itemsByEngine, wantsEventIntervals, work);
  }
};

// Replicated commands.

/// Removes jobs after their retention time.
struct RemoveJobs {
  std::vector<std::string> ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids);
  }
};

using JobCommand = std::variant<SubmitJob, EndJob, CommitResults, RemoveJobs, SaveProgress>;

}  // namespace tackpick::jobs
