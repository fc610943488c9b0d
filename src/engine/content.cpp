#include "engine/content.h"

#include <algorithm>
#include <charconv>

#include "base/random.h"

namespace tackpick::engine {
namespace {

constexpr std::string_view kDirectiveStart = "[[tokens=";
constexpr std::string_view kDirectiveEnd = "]]";

}  // namespace

std::uint64_t promptHash(std::string_view prompt) { return base::hashBytes(prompt); }

Token tokenAt(std::uint64_t promptHash, std::uint64_t seed, base::WeightsVersion version,
              std::uint32_t position) {
  constexpr std::uint64_t kVocabulary = 65'536;
  const std::uint64_t drawn =
      base::mix(base::mix(promptHash, seed), base::mix(version.value, position));
  return static_cast<Token>(drawn % kVocabulary);
}

Token tokenAt(std::string_view prompt, std::uint64_t seed, base::WeightsVersion version,
              std::uint32_t position) {
  return tokenAt(promptHash(prompt), seed, version, position);
}

std::string lengthDirective(std::uint32_t tokens) {
  return std::string(kDirectiveStart) + std::to_string(tokens) + std::string(kDirectiveEnd);
}

std::uint32_t naturalLength(std::string_view prompt, std::uint64_t seed) {
  if (prompt.starts_with(kDirectiveStart)) {
    std::uint32_t tokens = 0;
    const char* begin = prompt.data() + kDirectiveStart.size();
    const auto parsed = std::from_chars(begin, prompt.data() + prompt.size(), tokens);
    if (parsed.ec == std::errc() && tokens > 0) {
      return tokens;
    }
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
