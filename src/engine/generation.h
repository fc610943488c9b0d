/// \file
/// Requests to an engine and the stream that comes back.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/verdict.h"

namespace tackpick::engine {

using Token = std::uint32_t;

/// One attempt to generate. `resumeFrom` tokens are already known to the asker and are not
/// produced again.
struct GenerateRequest {
  base::AttemptId attempt;
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  std::uint32_t resumeFrom = 0;
  std::uint32_t priority = 0;           ///< 0 goes first
  base::WeightsVersion minimumVersion;  ///< the engine refuses when its active version is older
  bool notRepeatable = false;           ///< engines record it, for checkers
};

/// Consecutive tokens of one attempt, all produced under `version`.
struct Chunk {
  base::AttemptId attempt;
  std::uint32_t offset = 0;  ///< position of the first token in the whole answer
  base::WeightsVersion version;
  std::vector<Token> tokens;
};

enum class EndKind : std::uint8_t {
  kFinished,   ///< whole; `totalTokens` counts from the answer's start
  kRefused,    ///< the engine says that it ran nothing
  kCancelled,  ///< on our order
  kFailed,     ///< the engine gave up partway
  kLost,       ///< the connection broke; `verdict` says whether a byte of the request went out
};

struct AttemptEnd {
  base::AttemptId attempt;
  EndKind kind = EndKind::kLost;
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::uint32_t totalTokens = 0;
  std::string finishReason;  ///< "stop" or "length" when finished
  std::string message;       ///< why it was refused or lost
};

}  // namespace tackpick::engine
