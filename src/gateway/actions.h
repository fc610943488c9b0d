/// \file
/// What a Gateway asks its driver to do.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway/job.h"
#include "transport/internal_messages.h"

namespace tackpick::gateway {

/// Why a request ended without a whole answer.
enum class RejectionReason : std::uint8_t {
  kInvalid,  ///< the request breaks a rule
  kUnknownWorkload,
  kRateLimited,
  kInFlightLimited,
  kOverloaded,  ///< the expected wait is too long
  kStopping,    ///< this gateway is being stopped
  kNoLease,     ///< this gateway may not serve: it has lost the controllers
  kDeadline,
  kAlreadyClaimed,  ///< a not-repeatable request with this key was seen before
  kKeyReused,       ///< the idempotency key belongs to another request
  kEngineFailed,    ///< engines failed and the request may not be tried again
  kLedgerUnavailable,
};

/// Name used in answers and metrics.
[[nodiscard]] std::string_view toString(RejectionReason reason);

struct StartAttempt {
  base::EngineId engine;
  engine::GenerateRequest request;
};

struct CancelAttempt {
  base::EngineId engine;
  base::AttemptId attempt;
};

/// Read the engine's load report and cache events.
struct PollEngine {
  base::EngineId engine;
};

/// Tokens for a caller that asked for a stream.
struct StreamTokens {
  base::CallerId caller;
  std::uint32_t offset = 0;
  base::WeightsVersion version;
  std::vector<engine::Token> tokens;
};

/// The whole answer.
struct CompleteRequest {
  base::CallerId caller;
  VersionedTokens answer;
  std::string finishReason;
};

/// A not-repeatable request had completed before: the same answer again.
struct ReplayResponse {
  base::CallerId caller;
  base::Bytes answer;  ///< as recorded by encodeAnswer()
};

struct RejectRequest {
  base::CallerId caller;
  RejectionReason reason = RejectionReason::kInvalid;
  base::Verdict verdict = base::Verdict::kNotRun;
  std::string message;
  base::Duration retryAfter{0};
};

using Action = std::variant<StartAttempt, CancelAttempt, PollEngine, StreamTokens, CompleteRequest,
                            ReplayResponse, RejectRequest>;

struct GatewayActions {
  std::vector<Action> actions;
  transport::Outbox messages;
};

/// An answer as kept in the ledger for repeats.
[[nodiscard]] base::Bytes encodeAnswer(const CompleteRequest& answer);
[[nodiscard]] std::optional<CompleteRequest> decodeAnswer(const base::Bytes& bytes);

}  // namespace tackpick::gateway
