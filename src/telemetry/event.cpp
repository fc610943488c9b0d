#include "telemetry/event.h"

#include <algorithm>

namespace tackpick::telemetry {

const std::vector<EventDescription>& eventCatalogue() {
  using Id = EventId;
  using enum Severity;
  static const std::vector<EventDescription> kCatalogue = {
      {Id::kProcessStarted, "process_started", kInfo,
       "the process has started and serves its roles", ""},
      {Id::kProcessStopping, "process_stopping", kInfo, "a planned shutdown has begun", ""},
      {Id::kProcessStopped, "process_stopped", kInfo, "the process exits", ""},
      {Id::kSettingsRefused, "settings_refused", kError, "the settings file is invalid",
       "correct the reported line; `tackpickd --check` validates the file without starting"},
      {Id::kSettingsChanged, "settings_changed", kInfo,
       "the process was notified that its settings file changed; it keeps its current settings",
       ""},
      {Id::kSlowTurn, "slow_turn", kWarning,
       "an iteration of the event loop, including its syncs, took too long",
       "check for a slow disk or a lack of CPU time on the machine"},
      {Id::kDiskUnavailable, "disk_unavailable", kWarning,
       "the data directory cannot be opened or written; the process waits and retries",
       "free disk space, or replace the machine"},
      {Id::kHandlerFailed, "handler_failed", kError,
       "a handler threw an exception; the process exits with code 1",
       "this is a defect: report the message and the preceding lines"},
      {Id::kBecameLeader, "became_leader", kInfo, "this replica became the leader of its group",
       ""},
      {Id::kLostLeadership, "lost_leadership", kInfo,
       "this replica is no longer the leader of its group",
       "if this happens often, check for network failures or a slow disk"},
      {Id::kReplicaFailed, "replica_failed", kError,
       "a write or sync failed, or the log conflicts with the log of the group; the replica has "
       "stopped",
       "check the disk, then replace the replica with a new node"},
      {Id::kDataFolderRefused, "data_folder_refused", kError,
       "the data directory is corrupt or belongs to another node",
       "do not repair the directory manually; empty it and join as a new node"},
      {Id::kMembershipChanged, "membership_changed", kInfo, "the replicas of a group changed", ""},
      {Id::kGroupBelowSize, "group_below_size", kWarning,
       "a group has fewer reachable voters than required to tolerate the configured number of "
       "losses; reports the voters, the reachable voters and the required voters",
       "add machines for the role, or restore the unreachable ones, before another machine is "
       "lost"},
      {Id::kGroupOfSize, "group_of_size", kInfo,
       "a group has as many reachable voters as required to tolerate the configured number of "
       "losses",
       ""},
      {Id::kChangeAccepted, "change_accepted", kInfo,
       "an operator's configuration change has taken effect", ""},
      {Id::kChangeRefused, "change_refused", kInfo,
       "an operator's configuration change was rejected", ""},
      {Id::kWeightsPublished, "weights_published", kInfo, "a trainer published weights", ""},
      {Id::kEngineOrderFailed, "engine_order_failed", kWarning,
       "a command did not reach an engine or was rejected by it; reports its fence, the time from "
       "the decision until it was sent, and the time until it failed",
       "the command is retried; check the engine"},
      {Id::kMachineListUnreadable, "machine_list_unreadable", kWarning,
       "the platform's machine list could not be read",
       "the states reported by the engines themselves still apply"},
      {Id::kEngineOrdered, "engine_ordered", kInfo,
       "an engine was instructed to change its weights", ""},
      {Id::kCallUnanswered, "call_unanswered", kInfo,
       "no leader was found in time for a call of an operator, trainer or instance; the call may "
       "still take effect",
       "the caller resends the call; if this happens often, check the controllers"},
      {Id::kInstanceLeaving, "instance_leaving", kInfo,
       "an engine or server has announced that it is draining or leaving", ""},
      {Id::kUsageReported, "usage_reported", kInfo,
       "the platform accepted the usage report of a window; reports the total and the fence of the "
       "report",
       ""},
      {Id::kUsageReportFailed, "usage_report_failed", kWarning,
       "a usage report was rejected or not answered",
       "the same report is resent; a rejection means that another controller has become the "
       "leader. If this persists, check the platform"},
      {Id::kEngineOrderAnswered, "engine_order_answered", kInfo,
       "an engine answered a command; reports its fence, the time from the decision until it was "
       "sent, and the time until it was answered",
       ""},
      {Id::kCapacityDecided, "capacity_decided", kInfo,
       "the desired number of instances of one kind in a zone changed; reports the new and the "
       "previous number, the present and the leaving instances, the number desired in all zones, "
       "and the amount and age of the open work on which the decision is based",
       ""},
      {Id::kCapacityAsked, "capacity_asked", kInfo,
       "the platform accepted a call that sets a number of instances", ""},
      {Id::kCapacityCallFailed, "capacity_call_failed", kWarning,
       "the platform rejected or did not answer a call that sets a number of instances",
       "none_available: other zones and kinds are requested, and this one again later; refused: "
       "another controller has become the leader; otherwise, the call is retried. If this "
       "persists, check the platform"},
      {Id::kLeaseLost, "lease_lost", kWarning,
       "this gateway lost its serving lease and rejects new work",
       "check that a majority of the controllers is running and reachable"},
      {Id::kLeaseGained, "lease_gained", kInfo, "this gateway acquired its serving lease", ""},
      {Id::kConfigurationInForce, "configuration_in_force", kInfo,
       "this gateway applied a new configuration revision", ""},
      {Id::kEngineLeaving, "engine_leaving", kInfo, "an engine no longer receives new work", ""},
      {Id::kDrainBegun, "drain_begun", kInfo,
       "draining has begun: new work is rejected, running work is completed", ""},
      {Id::kDrainComplete, "drain_complete", kInfo, "draining is complete: no work is running", ""},
      {Id::kRequestGivenUp, "request_given_up", kInfo,
       "a gateway answered a caller's request with an error of its own; reports the instances "
       "tried and whether the request may have run",
       "check these instances for failures at that time"},
      {Id::kItemGivenUp, "item_given_up", kInfo, "an item of a batch ended without a result",
       "the status of the item contains the engine's response"},
      {Id::kItemFinished, "item_finished", kInfo,
       "an item of a batch has a result; reports its waiting time, its running time and the number "
       "of attempts",
       ""},
      {Id::kItemMoved, "item_moved", kInfo,
       "an item continues on another engine, which is much faster or replaces an engine without a "
       "free slot",
       ""},
      {Id::kJobSubmitted, "job_submitted", kInfo, "a job was accepted or rejected", ""},
      {Id::kJobEnded, "job_ended", kInfo, "a caller ended its job", ""},
      {Id::kJobCallUnanswered, "job_call_unanswered", kInfo,
       "no ledger was found in time for a caller's call about a job; a submission may have been "
       "accepted",
       "the caller resends the call; if this happens often, check the ledgers"},
      {Id::kItemLeased, "items_leased", kInfo, "this gateway leased items to run", ""},
      {Id::kItemsReleased, "items_released", kInfo,
       "a gateway that is shutting down released its unfinished items", ""},
      {Id::kAttemptFailed, "item_attempt_failed", kInfo,
       "an attempt at an item ended before its text was complete; the item is retried or "
       "continued; reports whether the engine sent a malformed event",
       ""},
      {Id::kScoringCallFailed, "scoring_call_failed", kInfo,
       "a call to the scorer of an item returned no score; the call is retried, or the item ends "
       "without a result",
       ""},
      {Id::kUnknownRefused, "unknown_refused", kInfo,
       "requests were rejected because their route or key is not in the applied configuration; "
       "reports the version of the configuration and the time since a controller confirmed it; "
       "logged at most once per second",
       "if that time is long, check the network between this gateway and the leader of the "
       "controllers"},
      {Id::kRunBroken, "run_broken", kInfo,
       "the connection to an instance ended during a request, item or scoring call that may have "
       "run there; reports its id, its fingerprint, which is the same for all attempts and "
       "gateways, and the number of instances on which this gateway has observed this for the "
       "fingerprint",
       "if one fingerprint is reported for several instances that ended, the request may have "
       "caused their failure"},
      {Id::kRequestHeld, "request_held", kWarning,
       "a request is quarantined because too many instances ended while they ran it, counted over "
       "all gateways; it is only sent in a few trials",
       "search the run_broken lines for its fingerprint; `tackpickctl quarantine` lists all "
       "quarantined requests, `tackpickctl release` releases one"},
      {Id::kRequestReleased, "request_released", kInfo,
       "a quarantined request was released: an instance completed a trial, an operator released "
       "it, or the quarantine expired",
       ""},
      {Id::kTrialBegun, "trial_begun", kInfo,
       "this gateway may send a quarantined request to one instance as a trial", ""},
      {Id::kResponseMalformed, "response_malformed", kInfo,
       "an instance responded to a request with bytes that are no valid HTTP response; reports "
       "the request, the status if its head was valid, and the error",
       "check this instance and what stands between it and the gateway"},
      {Id::kConnectionRefused, "connection_refused", kWarning,
       "an internal connection was rejected because of a wrong key, version or frame",
       "check for a process of another cluster or release"},
      {Id::kSlowReaderCut, "slow_reader_cut", kInfo,
       "connections of callers that did not read their responses were aborted to limit the memory "
       "for unread responses; reports the number since the last line and the bytes now unread; "
       "logged at most once per second",
       "callers should read their responses or resend their requests; check "
       "tackpick_unread_answer_bytes"},
      {Id::kClientsShed, "clients_shed", kWarning,
       "requests were rejected or connections closed to stay within the memory or the descriptors "
       "of the machine; reports the listener, a reason, its total since the start, and what the "
       "listener holds; logged at most once per second for each listener",
       "check tackpick_clients_shed_total and tackpick_request_bytes; if ordinary clients are "
       "affected, add gateways or memory"},
  };
  return kCatalogue;
}

const EventDescription& describe(EventId id) {
  const auto& catalogue = eventCatalogue();
  const auto found =
      std::find_if(catalogue.begin(), catalogue.end(),
                   [&](const EventDescription& description) { return description.id == id; });
  return found == catalogue.end() ? catalogue.front() : *found;
}

std::string catalogueAsMarkdown() {
  static const std::vector<std::string> kSeverities = {"info", "warning", "error"};
  std::string table = "| number | name | severity | meaning | what to do |\n";
  table += "| --- | --- | --- | --- | --- |\n";
  for (const EventDescription& description : eventCatalogue()) {
    table += "| " + std::to_string(static_cast<unsigned>(description.id)) + " | " +
             std::string(description.name) + " | " +
             kSeverities.at(static_cast<std::size_t>(description.severity)) + " | " +
             std::string(description.summary) + " | " + std::string(description.remedy) + " |\n";
  }
  return table;
}

}  // namespace tackpick::telemetry
