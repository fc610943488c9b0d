/// \file
/// The text that emulated engines produce: a pure function of prompt, seed, weights and position,
/// so that a checker can recompute every answer and every label.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "engine/generation.h"

namespace tackpick::engine {

/// The token at `position` of the answer to (prompt, seed) under `version`.
[[nodiscard]] Token syntheticToken(std::string_view prompt, std::uint64_t seed,
                                   base::WeightsVersion version, std::uint32_t position);
/// Same, from a hash of the prompt made by promptHash().
[[nodiscard]] Token syntheticToken(std::uint64_t promptHash, std::uint64_t seed,
                                   base::WeightsVersion version, std::uint32_t position);
[[nodiscard]] std::uint64_t promptHash(std::string_view prompt);

/// How many tokens the model produces before it stops by itself. A prompt that begins with the
/// directive `[[tokens=N]]` asks for exactly N; otherwise the length depends on prompt and seed.
[[nodiscard]] std::uint32_t syntheticLength(std::string_view prompt, std::uint64_t seed);
/// `[[around=N]]` asks for three quarters to five quarters of N, by the seed: answers to one prompt
/// resemble each other in length.
/// The directives for syntheticLength().
[[nodiscard]] std::string lengthDirective(std::uint32_t tokens);
[[nodiscard]] std::string aroundDirective(std::uint32_t tokens);

/// Tokens a prompt takes in the engine's context.
[[nodiscard]] std::uint32_t promptTokens(std::string_view prompt);
/// Hashes of the prompt's whole cache blocks; each covers all the text before it.
[[nodiscard]] std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// Bytes of prompt in one cache block, and tokens that such a block stands for.
inline constexpr std::size_t kBlockBytes = 64;
inline constexpr std::uint32_t kBlockTokens = 16;

}  // namespace tackpick::engine
