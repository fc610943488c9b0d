#include "telemetry/metric.h"

namespace tackpick::telemetry {
namespace {

MetricDescription describeMetric(CounterId id, std::string_view name, std::string_view help,
                                 std::string_view label = {}) {
  return {MetricKind::kCounter, static_cast<std::uint8_t>(id), name, help, label};
}

MetricDescription describeMetric(GaugeId id, std::string_view name, std::string_view help,
                                 std::string_view label = {}) {
  return {MetricKind::kGauge, static_cast<std::uint8_t>(id), name, help, label};
}

MetricDescription describeMetric(HistogramId id, std::string_view name, std::string_view help) {
  return {MetricKind::kHistogram, static_cast<std::uint8_t>(id), name, help, {}};
}

}  // namespace

const std::vector<MetricDescription>& metricCatalogue() {
  using C = CounterId;
  using G = GaugeId;
  using H = HistogramId;
  static const std::vector<MetricDescription> kCatalogue = {
      describeMetric(C::kRequestsAnswered, "tackpick_requests_answered_total",
                     "answers to callers' requests, our own included", "status"),
      describeMetric(C::kRequestsGivenUp, "tackpick_requests_given_up_total",
                     "callers' requests that got an answer of our own", "verdict"),
      describeMetric(C::kRequestsHeld, "tackpick_requests_held_total",
                     "callers' requests that were sent nowhere, since instances ended under them"),
      describeMetric(C::kSendsEnded, "tackpick_sends_ended_total",
                     "sends of callers' requests to instances, by how they ended", "outcome"),
      describeMetric(C::kLedgerCalls, "tackpick_ledger_calls_total",
                     "callers' calls about jobs, by call and status", "call"),
      describeMetric(C::kControlCalls, "tackpick_control_calls_total",
                     "calls of operators, trainers and instances, by call and status", "call"),
      describeMetric(
          C::kUnreadableCalls, "tackpick_unreadable_calls_total",
          "calls of operators, trainers and instances that changed nothing, since they cannot be "
          "read",
          "reason"),
      describeMetric(C::kItemsFinished, "tackpick_items_finished_total", "items with a result",
                     "state"),
      describeMetric(C::kItemsMoved, "tackpick_items_moved_total",
                     "items that went on at another engine", "reason"),
      describeMetric(C::kItemAttemptsEnded, "tackpick_item_attempts_ended_total",
                     "runs of items at engines, by how they ended", "outcome"),
      describeMetric(C::kScoringCallsEnded, "tackpick_scoring_calls_ended_total",
                     "calls to items' scorers, by how they ended", "outcome"),
      describeMetric(C::kTextsSaved, "tackpick_texts_saved_total",
                     "texts of unfinished items handed to the ledgers"),
      describeMetric(C::kOrdersGiven, "tackpick_engine_orders_total",
                     "orders to engines, by outcome", "outcome"),
      describeMetric(C::kDutyCalls, "tackpick_duty_calls_total",
                     "calls to the platform that one machine at a time may make, by outcome",
                     "outcome"),
      describeMetric(C::kScaleCalls, "tackpick_scale_calls_total",
                     "calls to the platform that set a number of instances, by outcome", "outcome"),
      describeMetric(C::kElectionsWon, "tackpick_elections_won_total",
                     "times this replica became leader"),
      describeMetric(C::kConnectionsOpened, "tackpick_upstream_connections_total",
                     "connections opened to instances"),
      describeMetric(C::kForeignAnswers, "tackpick_foreign_answers_total",
                     "answers that belonged to another request and were passed over"),
      describeMetric(
          C::kSlowReaders, "tackpick_slow_readers_total",
          "callers that left their answer unread: its stream was held back, or its connection cut",
          "action"),
      describeMetric(C::kClientsShed, "tackpick_clients_shed_total",
                     "requests rejected and connections closed to stay within the machine's memory "
                     "and descriptors",
                     "reason"),
      describeMetric(C::kInternalBytesSent, "tackpick_internal_sent_bytes_total",
                     "bytes to our other processes"),
      describeMetric(C::kInternalBytesReceived, "tackpick_internal_received_bytes_total",
                     "bytes from our other processes"),
      describeMetric(C::kLogLinesDropped, "tackpick_log_lines_dropped_total",
                     "lines dropped because the log's reader was slow"),
      describeMetric(G::kLeader, "tackpick_leader", "1 while this replica leads its group"),
      describeMetric(G::kTerm, "tackpick_term", "Raft term of the replica"),
      describeMetric(G::kCommitIndex, "tackpick_commit_index",
                     "committed log index of the replica"),
      describeMetric(G::kVoters, "tackpick_voters", "voters of the replica's group"),
      describeMetric(G::kVotersHeard, "tackpick_voters_heard",
                     "of those, heard lately; told by the leader"),
      describeMetric(G::kVotersWanted, "tackpick_voters_wanted",
                     "voters that the losses to be borne need; told by the leader"),
      describeMetric(G::kLogBytes, "tackpick_log_bytes", "log kept after the snapshot"),
      describeMetric(G::kSnapshotBytes, "tackpick_snapshot_bytes", "state of the last snapshot"),
      describeMetric(G::kConfigurationVersion, "tackpick_configuration_version",
                     "operator's version in force here; 0 before the first"),
      describeMetric(G::kControllersHeardAge, "tackpick_controllers_heard_age_seconds",
                     "time since the controllers' leader was last heard"),
      describeMetric(G::kConfigurationAge, "tackpick_configuration_age_seconds",
                     "time since the configuration here was known to be the newest"),
      describeMetric(G::kInstances, "tackpick_instances", "engines and servers known here",
                     "state"),
      describeMetric(G::kInstancesDesired, "tackpick_instances_desired",
                     "at the controllers' leader: instances that the platform was asked for",
                     "pool"),
      describeMetric(G::kInstancesThere, "tackpick_instances_there",
                     "at the controllers' leader: registered instances that do not leave", "pool"),
      describeMetric(G::kInstancesStarting, "tackpick_instances_starting",
                     "at the controllers' leader: instances asked for that have not registered",
                     "pool"),
      describeMetric(G::kInstancesLeaving, "tackpick_instances_leaving",
                     "at the controllers' leader: instances that leave", "pool"),
      describeMetric(G::kInstancesRefused, "tackpick_instances_refused",
                     "at the controllers' leader: times in a row that the platform had none",
                     "pool"),
      describeMetric(G::kHeldRequests, "tackpick_held_requests",
                     "requests under which so many instances ended that they are sent nowhere"),
      describeMetric(G::kItemsRunning, "tackpick_items_running", "items leased to this gateway"),
      describeMetric(G::kScoringCalls, "tackpick_scoring_calls",
                     "whole texts that wait for their score"),
      describeMetric(G::kResultsWaiting, "tackpick_results_waiting",
                     "results not yet taken by the ledgers"),
      describeMetric(G::kOpenExchanges, "tackpick_open_exchanges",
                     "callers' requests without an answer"),
      describeMetric(G::kUnreadBytes, "tackpick_unread_answer_bytes",
                     "answers that callers have not read yet"),
      describeMetric(G::kRequestBytes, "tackpick_request_bytes",
                     "memory of requests that are handled and of long bodies", "listener"),
      describeMetric(G::kUnfinishedBytes, "tackpick_unfinished_request_bytes",
                     "memory of heads and short bodies that are not complete yet", "listener"),
      describeMetric(G::kClientConnections, "tackpick_client_connections",
                     "open connections of clients", "listener"),
      describeMetric(G::kTickLateness, "tackpick_tick_lateness_seconds",
                     "how late the event loop of this gateway ticks; the ledgers hear it"),
      describeMetric(G::kOpenJobs, "tackpick_open_jobs", "jobs of which something may still run"),
      describeMetric(G::kKeptJobs, "tackpick_kept_jobs", "jobs whose results can be read"),
      describeMetric(G::kPublishedVersion, "tackpick_published_version", "newest published weights",
                     "model"),
      describeMetric(G::kPlacesReady, "tackpick_places_ready",
                     "places of engines whose weights the model's next step may use; the leader's",
                     "model"),
      describeMetric(G::kPlacesLoading, "tackpick_places_loading",
                     "places of engines that load weights for the model's next step; the leader's",
                     "model"),
      describeMetric(G::kPlacesNeeded, "tackpick_places_needed",
                     "items of the model's next step; 0 while its steps are unknown; the leader's",
                     "model"),
      describeMetric(G::kEnginesLoading, "tackpick_engines_loading",
                     "engines that were ordered to load and have not reported it; the leader's"),
      describeMetric(G::kLoadBudget, "tackpick_load_budget",
                     "engines that may load at once; the leader's"),
      describeMetric(G::kLengthForecastError, "tackpick_length_forecast_error_ratio",
                     "mean error of the forecasts of texts' lengths, as a part of the length",
                     "model"),
      describeMetric(H::kRequestTime, "tackpick_request_seconds",
                     "callers' requests, from the last byte in to the answer"),
      describeMetric(H::kItemWait, "tackpick_item_wait_seconds",
                     "items, from their job's submission to their first event"),
      describeMetric(H::kItemRun, "tackpick_item_run_seconds",
                     "items, from their first event to their last"),
      describeMetric(H::kLedgerCallTime, "tackpick_ledger_call_seconds",
                     "callers' calls about jobs"),
      describeMetric(H::kControlCallTime, "tackpick_control_call_seconds",
                     "calls of operators, trainers and instances"),
      describeMetric(H::kTurnTime, "tackpick_turn_seconds",
                     "turns of the event loop, with their syncs"),
  };
  return kCatalogue;
}

std::string metricsAsMarkdown() {
  static const std::vector<std::string> kKinds = {"counter", "gauge", "histogram"};
  std::string table = "| name | kind | label | meaning |\n| --- | --- | --- | --- |\n";
  for (const MetricDescription& metric : metricCatalogue()) {
    table += "| " + std::string(metric.name) + " | " +
             kKinds.at(static_cast<std::size_t>(metric.kind)) + " | " + std::string(metric.label) +
             " | " + std::string(metric.help) + " |\n";
  }
  return table;
}

}  // namespace tackpick::telemetry
