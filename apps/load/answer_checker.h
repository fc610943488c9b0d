/// \file
/// Recomputes what engines must have produced.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "engine/content.h"
#include "ledger/ledger_commands.h"
#include "runtime/json.h"

namespace tackpick::load {

/// An answer as a client got it.
struct ReceivedAnswer {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;
};

/// Reads `token_ids` and `weights` of an answer or sample.
[[nodiscard]] ReceivedAnswer readAnswer(const runtime::Json& tokens, const runtime::Json& weights);

/// True when the answer has the length the model would give it.
[[nodiscard]] bool isWhole(const ReceivedAnswer& answer, const std::string& prompt,
                           std::uint64_t seed, std::uint32_t maximumTokens);
/// True when every token is what its labelled version produces, and every token is labelled.
[[nodiscard]] bool isTrulyLabelled(const ReceivedAnswer& answer, const std::string& prompt,
                                   std::uint64_t seed);

}  // namespace tackpick::load
