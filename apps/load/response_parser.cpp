#include "response_parser.h"

namespace tackpick::load {

ReceivedResponse parseResponse(const runtime::Json& tokens, const runtime::Json& weights) {
  ReceivedResponse response;
  for (const runtime::Json& token : tokens) {
    response.tokens.push_back(token.get<engine::Token>());
  }
  for (const runtime::Json& span : weights) {
    response.spans.push_back({base::WeightsVersion{span["version"].get<std::uint64_t>()},
                              span["first"].get<std::uint32_t>(),
                              span["count"].get<std::uint32_t>()});
  }
  return response;
}

}  // namespace tackpick::load
