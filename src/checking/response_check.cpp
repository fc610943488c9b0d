#include "checking/response_check.h"

#include <algorithm>

namespace tackpick::checking {

bool hasExpectedLength(const ReceivedResponse& response, const std::string& prompt,
                       std::uint64_t seed, std::uint32_t maximumTokens) {
  const std::uint32_t expected = std::min(engine::syntheticLength(prompt, seed), maximumTokens);
  return response.tokens.size() == expected;
}

bool hasCorrectVersions(const ReceivedResponse& response, const std::string& prompt,
                        std::uint64_t seed) {
  if (!ledger::spansCoverTokens(response.spans, response.tokens.size())) {
    return false;
  }
  const std::uint64_t hash = engine::promptHash(prompt);
  for (const ledger::VersionSpan& span : response.spans) {
    for (std::uint32_t position = span.first; position < span.first + span.count; ++position) {
      if (response.tokens[position] != engine::syntheticToken(hash, seed, span.version, position)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace tackpick::checking
