#include "answer_checker.h"

#include <algorithm>

namespace tackpick::load {

ReceivedAnswer readAnswer(const runtime::Json& tokens, const runtime::Json& weights) {
  ReceivedAnswer answer;
  for (const runtime::Json& token : tokens) {
    answer.tokens.push_back(token.get<engine::Token>());
  }
  for (const runtime::Json& span : weights) {
    answer.spans.push_back({base::WeightsVersion{span["version"].get<std::uint64_t>()},
                            span["first"].get<std::uint32_t>(),
                            span["count"].get<std::uint32_t>()});
  }
  return answer;
}

bool isWhole(const ReceivedAnswer& answer, const std::string& prompt, std::uint64_t seed,
             std::uint32_t maximumTokens) {
  const std::uint32_t expected = std::min(engine::naturalLength(prompt, seed), maximumTokens);
  return answer.tokens.size() == expected;
}

bool isTrulyLabelled(const ReceivedAnswer& answer, const std::string& prompt, std::uint64_t seed) {
  if (!ledger::spansCover(answer.spans, answer.tokens.size())) {
    return false;
  }
  const std::uint64_t hash = engine::promptHash(prompt);
  for (const ledger::VersionSpan& span : answer.spans) {
    for (std::uint32_t position = span.first; position < span.first + span.count; ++position) {
      if (answer.tokens[position] != engine::tokenAt(hash, seed, span.version, position)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace tackpick::load
