#include "gateway/actions.h"

namespace tackpick::gateway {
namespace {

struct RecordedAnswer {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;
  std::string finishReason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tokens, spans, finishReason);
  }
};

}  // namespace

std::string_view toString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kInvalid:
      return "invalid";
    case RefusalReason::kUnknownWorkload:
      return "unknown_workload";
    case RefusalReason::kRateLimited:
      return "rate_limited";
    case RefusalReason::kInFlightLimited:
      return "in_flight_limited";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kStopping:
      return "stopping";
    case RefusalReason::kNoLease:
      return "no_lease";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kAlreadyClaimed:
      return "already_claimed";
    case RefusalReason::kKeyReused:
      return "key_reused";
    case RefusalReason::kEngineFailed:
      return "engine_failed";
    case RefusalReason::kLedgerUnavailable:
      return "ledger_unavailable";
  }
  return "unknown";
}

base::Bytes encodeAnswer(const AnswerCaller& answer) {
  return base::encode(
      RecordedAnswer{answer.answer.tokens, answer.answer.spans, answer.finishReason});
}

std::optional<AnswerCaller> decodeAnswer(const base::Bytes& bytes) {
  auto recorded = base::decode<RecordedAnswer>(bytes);
  if (!recorded) {
    return std::nullopt;
  }
  AnswerCaller answer;
  answer.answer.tokens = std::move(recorded->tokens);
  answer.answer.spans = std::move(recorded->spans);
  answer.finishReason = std::move(recorded->finishReason);
  return answer;
}

}  // namespace tackpick::gateway
