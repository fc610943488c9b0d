/// \file
/// The figures that a process of a self-formed cluster tells about itself. The catalogue stands in
/// metric.cpp; docs/METRICS.md is printed from it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace tackpick::telemetry {

/// Counts since the start of the process.
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
  kInternalBytesSent,
  kInternalBytesReceived,
  kLogLinesDropped,
};

/// Values of now.
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
  kInstancesDesired,  ///< this and the next four by service, zone and kind
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

/// Times, in buckets.
enum class HistogramId : std::uint8_t {
  kRequestTime,
  kItemWait,
  kItemRun,
  kLedgerCallTime,
  kControlCallTime,
  kTurnTime,  ///< of the event loop's turn, syncs included
};

enum class MetricKind : std::uint8_t { kCounter, kGauge, kHistogram };

/// A row of the catalogue.
struct MetricDescription {
  MetricKind kind = MetricKind::kCounter;
  std::uint8_t id = 0;    ///< the value of its enumeration
  std::string_view name;  ///< with its unit, as scrapers expect it
  std::string_view help;
  std::string_view label;  ///< name of its label; empty: none
};

[[nodiscard]] const std::vector<MetricDescription>& metricCatalogue();
/// The catalogue as the Markdown table of docs/METRICS.md.
[[nodiscard]] std::string metricsAsMarkdown();

/// Where modules report figures. Used on one thread.
class Metrics {
 public:
  virtual ~Metrics() = default;
  virtual void count(CounterId id, std::string_view label, std::uint64_t times) = 0;
  virtual void set(GaugeId id, std::string_view label, double value) = 0;
  virtual void observe(HistogramId id, base::Duration time) = 0;

  void count(CounterId id) { count(id, {}, 1); }
  void count(CounterId id, std::string_view label) { count(id, label, 1); }
  void set(GaugeId id, double value) { set(id, {}, value); }
};

}  // namespace tackpick::telemetry
