/// \file
/// Synthetic output of emulated engines. It is a pure function of prompt, seed, weights version and
/// position, so a checker can recompute every token and verify its version.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "engine/generation.h"

namespace tackpick::engine {

/// Returns the token at `position` of the answer to a prompt and seed under `version`.
[[nodiscard]] Token syntheticToken(std::string_view prompt, std::uint64_t seed,
                                   base::WeightsVersion version, std::uint32_t position);
/// Overload that takes the result of promptHash() instead of the prompt.
[[nodiscard]] Token syntheticToken(std::uint64_t promptHash, std::uint64_t seed,
                                   base::WeightsVersion version, std::uint32_t position);
[[nodiscard]] std::uint64_t promptHash(std::string_view prompt);

/// Returns the number of tokens of the complete answer. A prompt that begins with `[[tokens=N]]`
/// gets exactly N tokens. A prompt that begins with `[[around=N]]` gets between 3/4 N and 5/4 N
/// tokens, depending on the seed.
/// For other prompts the length depends on prompt and seed.
[[nodiscard]] std::uint32_t syntheticLength(std::string_view prompt, std::uint64_t seed);
/// Returns the directive `[[tokens=N]]` of syntheticLength().
[[nodiscard]] std::string lengthDirective(std::uint32_t tokens);
/// Returns the directive `[[around=N]]` of syntheticLength().
[[nodiscard]] std::string approximateLengthDirective(std::uint32_t tokens);

/// Returns the number of tokens of a prompt.
[[nodiscard]] std::uint32_t promptTokenCount(std::string_view prompt);
/// Returns the hashes of the complete cache blocks of a prompt. Each hash covers the text up to the
/// end of its block.
[[nodiscard]] std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt);

/// Size of a cache block in bytes of the prompt and in tokens.
inline constexpr std::size_t kCacheBlockBytes = 64;
inline constexpr std::uint32_t kCacheBlockTokens = 16;

}  // namespace tackpick::engine
