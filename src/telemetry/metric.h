/// \file
/// Metrics of a process of a self-formed cluster. docs/METRICS.md is generated from the catalogue
/// in metric.cpp.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace tackpick::telemetry {

/// Counters since the start of the process.
enum class CounterId : std::uint8_t {
  kRequestsAnswered,  ///< by status
  kRequestsGivenUp,   ///< by verdict
  kRequestsHeld,
  kSendsEnded,         ///< by outcome
  kLedgerCalls,        ///< by call and status
  kControlCalls,       ///< by call and status
  kUnreadableCalls,    ///< by reason
  kItemsFinished,      ///< by state
  kItemsMoved,         ///< by reason
  kItemAttemptsEnded,  ///< by outcome
  kScoringCallsEnded,  ///< by outcome
  kTextsSaved,
  kOrdersGiven,  ///< by outcome
  kDutyCalls,    ///< by outcome
  kScaleCalls,   ///< by outcome
  kElectionsWon,
  kConnectionsOpened,
  kForeignAnswers,
  kSlowReaders,  ///< by action
  kClientsShed,  ///< by reason
  kInternalBytesSent,
  kInternalBytesReceived,
  kLogLinesDropped,
};

/// Current values.
enum class GaugeId : std::uint8_t {
  kLeader,
  kTerm,
  kCommitIndex,
  kVoters,
  kVotersHeard,
  kVotersWanted,
  kLogBytes,
  kSnapshotBytes,
  kConfigurationVersion,
  kControllersHeardAge,
  kConfigurationAge,
  kInstances,         ///< by state
  kInstancesDesired,  ///< this and the next four gauges: by service, zone and kind
  kInstancesThere,
  kInstancesStarting,
  kInstancesLeaving,
  kInstancesRefused,
  kHeldRequests,
  kItemsRunning,
  kScoringCalls,
  kResultsWaiting,
  kOpenExchanges,
  kUnreadBytes,
  kRequestBytes,       ///< by listener
  kUnfinishedBytes,    ///< by listener
  kClientConnections,  ///< by listener
  kTickLateness,
  kOpenJobs,
  kKeptJobs,
  kPublishedVersion,  ///< by model
  kPlacesReady,       ///< by model
  kPlacesLoading,     ///< by model
  kPlacesNeeded,      ///< by model
  kEnginesLoading,
  kLoadBudget,
  kLengthForecastError,  ///< by model
};

/// Histograms of durations.
enum class HistogramId : std::uint8_t {
  kRequestTime,
  kItemWait,
  kItemRun,
  kLedgerCallTime,
  kControlCallTime,
  kTurnTime,  ///< of one iteration of the event loop, including syncs
};

enum class MetricKind : std::uint8_t { kCounter, kGauge, kHistogram };

/// Description of a metric in the catalogue.
struct MetricDescription {
  MetricKind kind = MetricKind::kCounter;
  std::uint8_t id = 0;    ///< value of the enumerator
  std::string_view name;  ///< name with unit, in the Prometheus convention
  std::string_view help;
  std::string_view label;  ///< label name; empty if there is none
};

[[nodiscard]] const std::vector<MetricDescription>& metricCatalogue();
/// Returns the catalogue as the Markdown table of docs/METRICS.md.
[[nodiscard]] std::string metricsAsMarkdown();

/// Interface through which modules report metrics. Not thread-safe.
class Metrics {
 public:
  virtual ~Metrics() = default;
  virtual void count(CounterId id, std::string_view label, std::uint64_t increment) = 0;
  virtual void set(GaugeId id, std::string_view label, double value) = 0;
  virtual void observe(HistogramId id, base::Duration time) = 0;

  void count(CounterId id) { count(id, {}, 1); }
  void count(CounterId id, std::string_view label) { count(id, label, 1); }
  void set(GaugeId id, double value) { set(id, {}, value); }
};

}  // namespace tackpick::telemetry
