#include "checking/answer_check.h"

#include <algorithm>

namespace tackpick::checking {

bool isWhole(const ReceivedAnswer& answer, const std::string& prompt, std::uint64_t seed,
             std::uint32_t maximumTokens) {
  const std::uint32_t expected = std::min(engine::syntheticLength(prompt, seed), maximumTokens);
  return answer.tokens.size() == expected;
}

bool hasCorrectVersions(const ReceivedAnswer& answer, const std::string& prompt,
                        std::uint64_t seed) {
  if (!ledger::spansCoverTokens(answer.spans, answer.tokens.size())) {
    return false;
  }
  const std::uint64_t hash = engine::promptHash(prompt);
  for (const ledger::VersionSpan& span : answer.spans) {
    for (std::uint32_t position = span.first; position < span.first + span.count; ++position) {
      if (answer.tokens[position] != engine::syntheticToken(hash, seed, span.version, position)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace tackpick::checking
