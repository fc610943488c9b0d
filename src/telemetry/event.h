/// \file
/// Numbered events for operators. A number never changes its meaning. docs/EVENTS.md lists all
/// events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tackpick::telemetry {

enum class EventId : std::uint16_t {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kSettingsRefused = 1004,
  kSettingsChanged = 1005,
  kSlowTurn = 1006,
  kDiskUnavailable = 1007,
  kHandlerFailed = 1008,
  kBecameLeader = 2001,
  kLostLeadership = 2002,
  kReplicaFailed = 2003,
  kDataFolderRefused = 2004,
  kMembershipChanged = 2005,
  kGroupBelowSize = 2006,
  kGroupOfSize = 2007,
  kChangeAccepted = 3001,
  kChangeRefused = 3002,
  kWeightsPublished = 3003,
  kEngineOrderFailed = 3004,
  kMachineListUnreadable = 3005,
  kEngineOrdered = 3006,
  kCallUnanswered = 3007,
  kInstanceLeaving = 3008,
  kUsageReported = 3009,
  kUsageReportFailed = 3010,
  kEngineOrderAnswered = 3011,
  kCapacityDecided = 3020,
  kCapacityAsked = 3021,
  kCapacityCallFailed = 3022,
  kLeaseLost = 4001,
  kLeaseGained = 4002,
  kConfigurationInForce = 4003,
  kEngineLeaving = 4004,
  kDrainBegun = 4005,
  kDrainComplete = 4006,
  kRequestGivenUp = 4007,
  kItemGivenUp = 4008,
  kItemFinished = 4009,
  kItemMoved = 4010,
  kJobSubmitted = 4011,
  kJobEnded = 4012,
  kJobCallUnanswered = 4013,
  kItemLeased = 4014,
  kItemsReleased = 4015,
  kAttemptFailed = 4016,
  kScoringCallFailed = 4017,
  kUnknownRefused = 4018,
  kRunBroken = 4019,
  kRequestHeld = 4020,
  kRequestReleased = 4021,
  kTrialBegun = 4022,
  kResponseMalformed = 4023,
  kConnectionRefused = 5001,
  kSlowReaderCut = 5002,
  kClientsShed = 5003,
};

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// Description of an event in the catalogue.
struct EventDescription {
  EventId id;
  std::string_view name;
  Severity severity;
  std::string_view summary;
  std::string_view remedy;  ///< what an operator should do; may be empty
};

/// Returns the descriptions of all events, ordered by number.
[[nodiscard]] const std::vector<EventDescription>& eventCatalogue();
[[nodiscard]] const EventDescription& describe(EventId id);
/// Returns the catalogue as the Markdown table of docs/EVENTS.md.
[[nodiscard]] std::string catalogueAsMarkdown();

}  // namespace tackpick::telemetry
