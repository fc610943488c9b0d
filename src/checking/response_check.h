/// \file
/// Checks of responses against the deterministic output of engine simulators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "engine/content.h"
#include "ledger/ledger_commands.h"

namespace tackpick::checking {

/// A response or sample as a client received it.
struct ReceivedResponse {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;
};

/// Whether the response has the length that the engine simulator produces for this request.
[[nodiscard]] bool hasExpectedLength(const ReceivedResponse& response, const std::string& prompt,
                                     std::uint64_t seed, std::uint32_t maximumTokens);
/// Whether the version labels cover all tokens and each token is the one that its version produces.
[[nodiscard]] bool hasCorrectVersions(const ReceivedResponse& response, const std::string& prompt,
                                      std::uint64_t seed);

}  // namespace tackpick::checking
