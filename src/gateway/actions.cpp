#include "gateway/actions.h"

namespace tackpick::gateway {
namespace {

struct RecordedResponse {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;
  std::string finishReason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tokens, spans, finishReason);
  }
};

}  // namespace

std::string_view toString(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kInvalid:
      return "invalid";
    case RejectionReason::kUnknownWorkload:
      return "unknown_workload";
    case RejectionReason::kRateLimited:
      return "rate_limited";
    case RejectionReason::kInFlightLimited:
      return "in_flight_limited";
    case RejectionReason::kOverloaded:
      return "overloaded";
    case RejectionReason::kStopping:
      return "stopping";
    case RejectionReason::kNoLease:
      return "no_lease";
    case RejectionReason::kDeadline:
      return "deadline";
    case RejectionReason::kAlreadyClaimed:
      return "already_claimed";
    case RejectionReason::kKeyReused:
      return "key_reused";
    case RejectionReason::kEngineFailed:
      return "engine_failed";
    case RejectionReason::kLedgerUnavailable:
      return "ledger_unavailable";
  }
  return "unknown";
}

base::Bytes encodeResponse(const CompleteRequest& completion) {
  return base::encode(
      RecordedResponse{completion.answer.tokens, completion.answer.spans, completion.finishReason});
}

std::optional<CompleteRequest> decodeResponse(const base::Bytes& bytes) {
  auto recorded = base::decode<RecordedResponse>(bytes);
  if (!recorded) {
    return std::nullopt;
  }
  CompleteRequest completion;
  completion.answer.tokens = std::move(recorded->tokens);
  completion.answer.spans = std::move(recorded->spans);
  completion.finishReason = std::move(recorded->finishReason);
  return completion;
}

}  // namespace tackpick::gateway
