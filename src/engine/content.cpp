#include "engine/content.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "base/random.h"

namespace tackpick::engine {
namespace {

constexpr std::string_view kDirectiveStart = "[[tokens=";
constexpr std::string_view kAroundStart = "[[around=";
constexpr std::string_view kDirectiveEnd = "]]";

/// The number in a directive at the start of the prompt.
std::optional<std::uint32_t> directedTokens(std::string_view prompt, std::string_view start) {
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
  const std::uint64_t drawn =
      base::mix(base::mix(promptHash, seed), base::mix(version.value, position));
  return static_cast<Token>(drawn % kVocabulary);
}

Token syntheticToken(std::string_view prompt, std::uint64_t seed, base::WeightsVersion version,
                     std::uint32_t position) {
  return syntheticToken(promptHash(prompt), seed, version, position);
}

std::string lengthDirective(std::uint32_t tokens) {
  return std::string(kDirectiveStart) + std::to_string(tokens) + std::string(kDirectiveEnd);
}

std::string aroundDirective(std::uint32_t tokens) {
  return std::string(kAroundStart) + std::to_string(tokens) + std::string(kDirectiveEnd);
}

std::uint32_t syntheticLength(std::string_view prompt, std::uint64_t seed) {
  if (const auto tokens = directedTokens(prompt, kDirectiveStart)) {
    return *tokens;
  }
  if (const auto usual = directedTokens(prompt, kAroundStart)) {
    constexpr double kLeast = 0.75;
    constexpr double kSpread = 0.5;
    base::SeededRandom random(base::mix(promptHash(prompt), seed));
    const double share = kLeast + kSpread * random.uniform();
    return std::max(1U, static_cast<std::uint32_t>(*usual * share));
  }
  constexpr double kShortest = 8.0;
  constexpr double kTailIndex = 1.3;
  constexpr double kLongest = 4096.0;
  base::SeededRandom random(base::mix(promptHash(prompt), seed));
  return static_cast<std::uint32_t>(std::min(random.pareto(kShortest, kTailIndex), kLongest));
}

std::uint32_t promptTokens(std::string_view prompt) {
  const std::size_t bytesPerToken = kBlockBytes / kBlockTokens;
  return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t start = 0; start + kBlockBytes <= prompt.size(); start += kBlockBytes) {
    hash = base::hashBytes(prompt.substr(start, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace tackpick::engine
