#include "telemetry/event.h"

#include <algorithm>

namespace tackpick::telemetry {

const std::vector<EventDescription>& eventCatalogue() {
  using Id = EventId;
  using enum Severity;
  static const std::vector<EventDescription> kCatalogue = {
      {Id::kProcessStarted, "process_started", kInfo, "the process serves its roles", ""},
      {Id::kProcessStopping, "process_stopping", kInfo, "a planned stop has begun", ""},
      {Id::kProcessStopped, "process_stopped", kInfo, "the process ends", ""},
      {Id::kSettingsRefused, "settings_refused", kError, "the settings file breaks a rule",
       "correct the named line; `tackpickd --check` checks without starting"},
      {Id::kSettingsChanged, "settings_changed", kInfo,
       "the process was told that its settings file changed; it runs on with those it has", ""},
      {Id::kSlowTurn, "slow_turn", kWarning,
       "a turn of the event loop took long, its syncs included",
       "look for a slow disk, or for a machine without processor time"},
      {Id::kDiskUnavailable, "disk_unavailable", kWarning,
       "the data folder cannot be opened or written; the process waits and tries again",
       "make room on the disk, or replace the machine"},
      {Id::kBecameLeader, "became_leader", kInfo, "this replica leads its group", ""},
      {Id::kLostLeadership, "lost_leadership", kInfo, "this replica no longer leads its group",
       "look for a cut network or a slow disk when it happens often"},
      {Id::kReplicaFailed, "replica_failed", kError,
       "a write or sync failed, or the log contradicts the group's: the replica has stopped",
       "check the disk, then replace the replica as a new node"},
      {Id::kDataFolderRefused, "data_folder_refused", kError,
       "the data folder is damaged or belongs to another node",
       "do not repair it by hand: empty it and join as a new node"},
      {Id::kMembershipChanged, "membership_changed", kInfo, "the replicas of a group changed", ""},
      {Id::kGroupBelowSize, "group_below_size", kWarning,
       "a group has fewer voters that are heard than the losses it must bear need: voters, heard, "
       "wanted",
       "give the role more machines, or bring the silent ones back, before another one is lost"},
      {Id::kGroupOfSize, "group_of_size", kInfo,
       "a group has as many voters that are heard as the losses it must bear need", ""},
      {Id::kChangeAccepted, "change_accepted", kInfo, "an operator's change is in force", ""},
      {Id::kChangeRefused, "change_refused", kInfo, "an operator's change was refused", ""},
      {Id::kWeightsPublished, "weights_published", kInfo, "a trainer published weights", ""},
      {Id::kEngineOrderFailed, "engine_order_failed", kWarning,
       "an order did not reach an engine or was refused", "it is repeated; look at the engine"},
      {Id::kMachineListUnreadable, "machine_list_unreadable", kWarning,
       "the platform's machine list could not be read", "engines' own flags still count"},
      {Id::kEngineOrdered, "engine_ordered", kInfo, "an engine was ordered to change its weights",
       ""},
      {Id::kCallUnanswered, "call_unanswered", kInfo,
       "a call of an operator, trainer or instance found no leader in time; it may take effect",
       "the caller repeats it; look at the controllers when it happens often"},
      {Id::kInstanceLeaving, "instance_leaving", kInfo,
       "an engine or server has said that it drains or leaves", ""},
      {Id::kUsageReported, "usage_reported", kInfo,
       "the platform took the report of a window's usage: its total, and the fence it was sent "
       "under",
       ""},
      {Id::kUsageReportFailed, "usage_report_failed", kWarning,
       "a usage report was refused or got no answer",
       "it is repeated unchanged; refused means that another controller leads by now. Look at the "
       "platform when it goes on"},
      {Id::kCapacityDecided, "capacity_decided", kInfo,
       "the number of instances that a zone should have of one kind has changed: the new count, "
       "the one before, how many are there and leave, how many are wanted in all zones, and the "
       "open work and its age that this was decided from",
       ""},
      {Id::kCapacityAsked, "capacity_asked", kInfo,
       "the platform took a call that sets a number of instances", ""},
      {Id::kCapacityCallFailed, "capacity_call_failed", kWarning,
       "the platform refused or did not answer a call that sets a number of instances",
       "none_available: other zones and kinds are asked, and this one later; refused: another "
       "controller leads by now; else it is repeated. Look at the platform when it goes on"},
      {Id::kLeaseLost, "lease_lost", kWarning,
       "this gateway has lost its serving lease and refuses new work",
       "check that a majority of controllers runs and is reachable"},
      {Id::kLeaseGained, "lease_gained", kInfo, "this gateway may serve", ""},
      {Id::kConfigurationInForce, "configuration_in_force", kInfo,
       "this gateway runs a new revision", ""},
      {Id::kEngineLeaving, "engine_leaving", kInfo, "an engine gets no new work", ""},
      {Id::kDrainBegun, "drain_begun", kInfo, "new work is refused, running work finishes", ""},
      {Id::kDrainComplete, "drain_complete", kInfo, "nothing runs any more", ""},
      {Id::kRequestGivenUp, "request_given_up", kInfo,
       "a caller's request got an answer of our own: which instances were tried, and whether it "
       "may "
       "have run",
       "look for the instances' failures at that time"},
      {Id::kItemGivenUp, "item_given_up", kInfo, "an item of a batch was ended without a result",
       "its status says what the engine answered"},
      {Id::kItemFinished, "item_finished", kInfo,
       "an item of a batch has its result: how long it waited and ran, and over how many attempts",
       ""},
      {Id::kItemMoved, "item_moved", kInfo,
       "an item goes on at another engine: that one is much faster, or this one has no place", ""},
      {Id::kJobSubmitted, "job_submitted", kInfo, "a job was accepted or refused", ""},
      {Id::kJobEnded, "job_ended", kInfo, "a caller has ended its job", ""},
      {Id::kJobCallUnanswered, "job_call_unanswered", kInfo,
       "a caller's call about a job found no ledger in time; a submission may have been taken",
       "the caller repeats it; look at the ledgers when it happens often"},
      {Id::kItemLeased, "items_leased", kInfo, "this gateway was given items to run", ""},
      {Id::kItemsReleased, "items_released", kInfo,
       "a stopping gateway gave its unfinished items back", ""},
      {Id::kAttemptFailed, "item_attempt_failed", kInfo,
       "a run of an item ended without its whole text; it is repeated or continued", ""},
      {Id::kScoringCallFailed, "scoring_call_failed", kInfo,
       "a call to an item's scorer brought no score; it is repeated, or the item is given up", ""},
      {Id::kUnknownRefused, "unknown_refused", kInfo,
       "requests were turned away since their route or key is not in the configuration in force: "
       "its version, and how long ago a controller confirmed that; at most one line a second",
       "where the age is long, look at the way from this gateway to the controllers' leader"},
      {Id::kRunBroken, "run_broken", kInfo,
       "the connection to an instance ended under a request, item or scoring call that may have "
       "run there: its id, its fingerprint, which is the same at each try and gateway, and at how "
       "many instances this gateway has seen that",
       "where one fingerprint stands under several instances that ended, it may have ended them"},
      {Id::kRequestHeld, "request_held", kWarning,
       "instances ended under a request, at any gateway, so often that it is sent nowhere any "
       "more, but for a few trials",
       "find it by its fingerprint in the run_broken lines; `tackpickctl quarantine` lists all, "
       "`tackpickctl release` ends the hold"},
      {Id::kRequestReleased, "request_released", kInfo,
       "a held request is free again: an instance has borne it, an operator released it, or its "
       "time is over",
       ""},
      {Id::kTrialBegun, "trial_begun", kInfo,
       "this gateway may send a held request to one instance, to see whether it is borne", ""},
      {Id::kConnectionRefused, "connection_refused", kWarning,
       "an internal connection showed a wrong key, version or frame",
       "look for a process of another cluster or release"},
      {Id::kSlowReaderCut, "slow_reader_cut", kInfo,
       "a caller left its answer unread, and its connection was cut so that the memory for answers "
       "holds: how many since the last line, and what is held now; at most one line a second",
       "callers should read their answers, or ask again; look at tackpick_unread_answer_bytes"},
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
