/// \file
/// Actions that a Gateway returns for its owner to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway/task.h"
#include "transport/internal_messages.h"

namespace tackpick::gateway {

/// Reason why a request ended without a complete answer.
enum class RejectionReason : std::uint8_t {
  kInvalid,  ///< the request is malformed or exceeds a limit
  kUnknownWorkload,
  kRateLimited,
  kInFlightLimited,
  kOverloaded,  ///< the expected or actual wait in the queue exceeds the limit
  kStopping,    ///< this gateway is draining
  kNoLease,     ///< this gateway holds no serving lease from the controllers
  kDeadline,
  kAlreadyClaimed,  ///< a not-repeatable request with this key may have run
  kKeyReused,       ///< the idempotency key was used for another request
  kEngineFailed,    ///< an engine failed and the request cannot be retried
  kLedgerUnavailable,
};

/// Returns the name used in responses and metrics.
[[nodiscard]] std::string_view toString(RejectionReason reason);

/// Sends a generation request to an engine.
struct StartAttempt {
  base::EngineId engine;
  engine::GenerateRequest request;
};

/// Cancels a running attempt on its engine.
struct CancelAttempt {
  base::EngineId engine;
  base::AttemptId attempt;
};

/// Requests the status and the cache events of an engine.
struct PollEngine {
  base::EngineId engine;
};

/// Sends tokens to a caller that requested a stream.
struct StreamTokens {
  base::CallerId caller;
  std::uint32_t offset = 0;
  base::WeightsVersion version;
  std::vector<engine::Token> tokens;
};

/// Sends the complete answer to a caller.
struct CompleteRequest {
  base::CallerId caller;
  VersionedTokens answer;
  std::string finishReason;
};

/// Sends the recorded answer of a not-repeatable request that completed earlier.
struct ReplayResponse {
  base::CallerId caller;
  base::Bytes answer;  ///< encoded by encodeResponse()
};

/// Ends a caller's request with an error.
struct RejectRequest {
  base::CallerId caller;
  RejectionReason reason = RejectionReason::kInvalid;
  base::Verdict verdict = base::Verdict::kNotRun;
  std::string message;
  base::Duration retryAfter{0};
};

using Action = std::variant<StartAttempt, CancelAttempt, PollEngine, StreamTokens, CompleteRequest,
                            ReplayResponse, RejectRequest>;

/// Actions and outgoing messages that accumulated since the last call of Gateway::takeActions().
struct GatewayActions {
  std::vector<Action> actions;
  transport::Outbox messages;
};

/// Serializes an answer for the ledger, which keeps it for repeated requests.
[[nodiscard]] base::Bytes encodeResponse(const CompleteRequest& completion);
/// Parses a recorded answer; std::nullopt if the bytes are malformed. The caller id is not set.
[[nodiscard]] std::optional<CompleteRequest> decodeResponse(const base::Bytes& bytes);

}  // namespace tackpick::gateway
