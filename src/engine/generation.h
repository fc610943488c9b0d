/// \file
/// Requests to an engine and the streamed response.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/verdict.h"

namespace tackpick::engine {

using Token = std::uint32_t;

/// Request to generate an answer. Generation starts at position `resumeFrom`; the client already
/// has the tokens before it.
struct GenerateRequest {
  base::AttemptId attempt;
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  std::uint32_t resumeFrom = 0;
  std::uint32_t priority = 0;  ///< 0 is the highest
  base::WeightsVersion
      minimumVersion;          ///< an engine with an older active version rejects the request
  bool notRepeatable = false;  ///< recorded by emulated engines, for checkers
};

/// Consecutive tokens of one attempt, all produced under `version`.
struct Chunk {
  base::AttemptId attempt;
  std::uint32_t offset = 0;  ///< position of the first token in the complete answer
  base::WeightsVersion version;
  std::vector<Token> tokens;
};

/// Outcome of an attempt.
enum class EndKind : std::uint8_t {
  kFinished,   ///< complete; `totalTokens` includes the tokens before `resumeFrom`
  kRejected,   ///< the engine rejected the request and did not run it
  kCancelled,  ///< cancelled by the client
  kFailed,     ///< the engine failed after it started the request
  kLost,       ///< connection lost; `verdict` is kNotRun if no byte of the request was sent
};

/// Last event of an attempt.
struct AttemptEnd {
  base::AttemptId attempt;
  EndKind kind = EndKind::kLost;
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::uint32_t totalTokens = 0;
  std::string finishReason;  ///< "stop" or "length" when finished
  std::string message;       ///< reason of a rejection, failure or loss
};

}  // namespace tackpick::engine
