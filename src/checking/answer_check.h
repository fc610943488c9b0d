/// \file
/// Recomputes what engines must have produced; shared by tackpick-load and the simulator.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "engine/content.h"
#include "ledger/ledger_commands.h"

namespace tackpick::checking {

/// An answer or sample as a client got it.
struct ReceivedAnswer {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;
};

/// True when the answer has the length the model would give it.
[[nodiscard]] bool isWhole(const ReceivedAnswer& answer, const std::string& prompt,
                           std::uint64_t seed, std::uint32_t maximumTokens);
/// True when every token is what its labelled version produces, and every token is labelled.
[[nodiscard]] bool hasCorrectVersions(const ReceivedAnswer& answer, const std::string& prompt,
                                      std::uint64_t seed);

}  // namespace tackpick::checking
