#include "engine/content.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "base/random.h"

namespace tackpick::engine {
namespace {

constexpr std::string_view kExactLengthPrefix = "[[tokens=";
constexpr std::string_view kApproximateLengthPrefix = "[[around=";
constexpr std::string_view kDirectiveSuffix = "]]";

/// Returns the number in the directive at the start of the prompt; std::nullopt if there is none.
std::optional<std::uint32_t> parseDirective(std::string_view prompt, std::string_view start) {
  std::uint32_t tokens = 0;
  if (!prompt.starts_with(start)) {
    return std::nullopt;
  }
  const auto parsed =
      std::from_chars(prompt.data() + start.size(), prompt.data() + prompt.size(), tokens);
  return parsed.ec == std::errc() && tokens > 0 ? std::optional(tokens) : std::nullopt;
}

}  // namespace

std::uint64_t promptHash(std::string_view prompt) { return base::hashBytes(prompt); }

Token syntheticToken(std::uint64_t promptHash, std::uint64_t seed, base::WeightsVersion version,
                     std::uint32_t position) {
  constexpr std::uint64_t kVocabulary = 65'536;
  const std::uint64_t tokenHash =
      base::mix(base::mix(promptHash, seed), base::mix(version.value, position));
  return static_cast<Token>(tokenHash % kVocabulary);
}

Token syntheticToken(std::string_view prompt, std::uint64_t seed, base::WeightsVersion version,
                     std::uint32_t position) {
  return syntheticToken(promptHash(prompt), seed, version, position);
}

std::string lengthDirective(std::uint32_t tokens) {
  return std::string(kExactLengthPrefix) + std::to_string(tokens) + std::string(kDirectiveSuffix);
}

std::string approximateLengthDirective(std::uint32_t tokens) {
  return std::string(kApproximateLengthPrefix) + std::to_string(tokens) +
         std::string(kDirectiveSuffix);
}

std::uint32_t syntheticLength(std::string_view prompt, std::uint64_t seed) {
  if (const auto tokens = parseDirective(prompt, kExactLengthPrefix)) {
    return *tokens;
  }
  if (const auto approximateLength = parseDirective(prompt, kApproximateLengthPrefix)) {
    constexpr double kMinFactor = 0.75;
    constexpr double kFactorRange = 0.5;
    base::SeededRandom random(base::mix(promptHash(prompt), seed));
    const double factor = kMinFactor + kFactorRange * random.uniform();
    return std::max(1U, static_cast<std::uint32_t>(*approximateLength * factor));
  }
  constexpr double kMinLength = 8.0;
  constexpr double kTailIndex = 1.3;
  constexpr double kMaxLength = 4096.0;
  base::SeededRandom random(base::mix(promptHash(prompt), seed));
  return static_cast<std::uint32_t>(std::min(random.pareto(kMinLength, kTailIndex), kMaxLength));
}

std::uint32_t promptTokenCount(std::string_view prompt) {
  const std::size_t bytesPerToken = kCacheBlockBytes / kCacheBlockTokens;
  return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::vector<std::uint64_t> prefixBlockHashes(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t start = 0; start + kCacheBlockBytes <= prompt.size();
       start += kCacheBlockBytes) {
    hash = base::hashBytes(prompt.substr(start, kCacheBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace tackpick::engine
