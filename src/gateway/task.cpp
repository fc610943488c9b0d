#include "gateway/task.h"

namespace tackpick::gateway {

void VersionedTokens::append(base::WeightsVersion version,
                             const std::vector<engine::Token>& newTokens) {
  if (newTokens.empty()) {
    return;
  }
  const auto count = static_cast<std::uint32_t>(newTokens.size());
  if (!spans.empty() && spans.back().version == version) {
    spans.back().count += count;
  } else {
    spans.push_back({version, static_cast<std::uint32_t>(tokens.size()), count});
  }
  tokens.insert(tokens.end(), newTokens.begin(), newTokens.end());
}

}  // namespace tackpick::gateway
