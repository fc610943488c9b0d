/// \file
/// Jobs: batches of opaque items that engines run and whose results are kept by the ledgers. What
/// gateways ask of the ledgers' leader, and what goes through its log.
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

/// The request that has an item's whole text judged. It goes to the service of its own route.
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

/// One request of a job, to be run as it stands.
struct Item {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string group;                 ///< items of a group share their prompt
  std::uint32_t expectedTokens = 0;  ///< the caller's estimate of the output; zero: unknown
  /// Its result is listed as completed only with the score of this call; nothing: it needs none.
  std::optional<ScoringCall> scoring = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, path, headers, body, group, expectedTokens, scoring);
  }
};

/// A job as its caller submits it.
struct JobSubmission {
  std::string id;
  std::string tenant;  ///< whose it is; empty: nobody's in particular
  std::string host;
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< oldest weights that may make its texts
  std::uint32_t requiredGroups = 0;  ///< whole groups that the caller waits for; zero: all
  std::uint32_t attempts = 1;        ///< answers of failure after which an item may be given up
  base::Duration queueTimeout{0};    ///< an item may be given up so long after the submission
  base::Duration resultDeadline{0};  ///< results are due so long after the submission; zero: none
  bool singleVersion = false;
  std::uint32_t priority = 0;  ///< of its route; 0 is the highest
  std::vector<Item> items;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant, host, model, minimumVersion, requiredGroups, attempts, queueTimeout,
            resultDeadline, singleVersion, priority, items);
  }
};

enum class ItemState : std::uint8_t { kCompleted, kTerminated };

/// How far a kept text reaches: the lease under which it was last extended, and its last event.
struct ProgressPoint {
  std::uint64_t lease = 0;
  std::uint64_t event = 0;

  bool operator==(const ProgressPoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, event);
  }
};

/// What became of an item.
struct ItemResult {
  std::uint32_t item = 0;  ///< its index in the job
  ItemState state = ItemState::kCompleted;
  base::CompressedText text;
  std::set<std::uint64_t> versions;  ///< that made the text
  std::string score = {};            ///< of the item's scoring call; empty when it has none
  /// While the result is on its way: `text` follows the kept text, which reaches this point.
  /// Nothing: it is the whole text.
  std::optional<ProgressPoint> after = std::nullopt;
  std::uint64_t events = 0;  ///< of the whole text; zero: unknown

  template <class Archive>
  void serialize(Archive& archive) {
    archive(item, state, text, versions, score, after, events);
  }
};

/// The text that an unfinished item has so far, kept by the ledgers so that another gateway can
/// continue it behind its last event.
struct PartialText {
  ProgressPoint point;
  base::CompressedText text;
  std::set<std::uint64_t> versions;  ///< that made the text
  bool whole = false;                ///< only its score is missing

  template <class Archive>
  void serialize(Archive& archive) {
    archive(point, text, versions, whole);
  }
};

/// What a gateway adds to the kept text of an item.
struct ItemProgress {
  std::uint32_t item = 0;              ///< its index in the job
  std::optional<ProgressPoint> after;  ///< what `added` follows; nothing: it is the whole text
  PartialText added;                   ///< its point is the one reached

  template <class Archive>
  void serialize(Archive& archive) {
    archive(item, after, added);
  }
};

/// Names an item in the cluster.
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

/// Results from position `after` on; held back while there are none.
struct ReadJob {
  std::string id;
  std::uint64_t after = 0;
  base::Duration hold{0};
  /// A replica from which the caller would rather fetch many results; invalid: none.
  base::NodeId nearby = {};
  std::string tenant = {};  ///< on whose behalf
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, after, hold, nearby, tenant);
  }
};

/// Results at positions of which the leader has said that they exist. Any replica may answer: a
/// position never changes.
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
  std::string tenant = {};  ///< on whose behalf
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, item, tenant);
  }
};

struct EndJob {
  std::string id;
  std::string tenant = {};  ///< on whose behalf
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, tenant);
  }
};

/// An item that a gateway holds, and the engine where it runs; empty: none at the moment.
struct HeldItem {
  ItemKey key;
  std::string engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, engine);
  }
};

/// A gateway renews its leases and asks for more. Leases live in the leader's memory only.
struct LeaseItems {
  std::vector<HeldItem> held;
  std::map<std::string, EventIntervalReport> eventIntervals;  ///< by the name of the engine
  FreeSlots wanted;                                           ///< for further items
  bool draining = false;          ///< all its other leases are given back
  std::string zone;               ///< the gateway's
  GatewayCapacity capacity = {};  ///< the gateway's
  template <class Archive>
  void serialize(Archive& archive) {
    archive(held, eventIntervals, wanted, draining, zone, capacity);
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

/// Keeps texts under way. What does not follow the text that is kept changes nothing.
struct SaveProgress {
  std::vector<JobProgress> jobs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(jobs);
  }
};

/// An operator asks what waits and why.
struct ReadWork {
  std::uint8_t reserved = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reserved);
  }
};

using JobRequest = std::variant<SubmitJob, ReadJob, ReadItem, EndJob, LeaseItems, CommitResults,
                                SaveProgress, FetchResults, ReadWork>;

/// Says on whose behalf a caller's request is made.
void setTenant(JobRequest& request, const std::string& tenant);

// Answers.

enum class JobStatus : std::uint8_t {
  kDone,
  kNotFound,
  kNotOwner,  ///< a submission whose id another tenant uses
};

struct ReadResult {
  std::string itemId;
  ItemResult result;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(itemId, result);
  }
};

/// An item to run, with what its job says about it.
struct LeasedItem {
  ItemKey key;
  std::uint64_t lease = 0;              ///< rises with each lease that a ledger gives
  std::optional<PartialText> progress;  ///< of earlier leases
  std::string engine;                   ///< where it should run; empty: all are full
  Item item;
  std::string tenant;  ///< of its job; empty: nobody in particular
  std::string host;
  std::string model;
  std::uint64_t minimumVersion = 0;
  bool singleVersion = false;
  std::uint32_t attempts = 1;
  base::Duration age{0};  ///< since its job was submitted
  base::Duration queueTimeout{0};
  /// Until its job's results are due; the longest duration where no due time is known.
  base::Duration timeUntilDue = base::Duration::max();
  /// Events that are still expected of its text; zero: unknown.
  double remainingEvents = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, lease, progress, engine, item, tenant, host, model, minimumVersion, singleVersion,
            attempts, age, queueTimeout, timeUntilDue, remainingEvents);
  }
};

struct JobReply {
  JobStatus status = JobStatus::kDone;
  std::uint64_t total = 0;          ///< items of the job
  std::vector<ReadResult> results;  ///< ReadJob, FetchResults
  std::uint64_t elsewhere = 0;      ///< ReadJob: so many are to be fetched from its `nearby`
  std::string body;                 ///< ReadItem
  std::vector<LeasedItem> leased;   ///< LeaseItems
  std::vector<ItemKey> revoked;     ///< LeaseItems: held ones that need not be run any more
  /// LeaseItems: other gateways run the items of this one's zone; it need not ask often.
  bool standby = false;
  std::uint32_t activeGateways = 0;  ///< LeaseItems: gateways that share the slots of all engines
  /// LeaseItems that tell event intervals: items of all gateways, by the engine where they run.
  std::map<std::string, std::uint32_t> itemsByEngine;
  /// LeaseItems: this leader has not heard event intervals of the gateway; its next call should
  /// tell them.
  bool wantsEventIntervals = false;
  std::optional<WorkReport> work;  ///< ReadWork

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, total, results, elsewhere, body, leased, revoked, standby, activeGateways,
            itemsByEngine, wantsEventIntervals, work);
  }
};

// Through the log.

/// Drops jobs whose retention is over.
struct ForgetJobs {
  std::vector<std::string> ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids);
  }
};

using JobCommand = std::variant<SubmitJob, EndJob, CommitResults, ForgetJobs, SaveProgress>;

}  // namespace tackpick::jobs
