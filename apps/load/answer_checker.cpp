#include "answer_checker.h"

namespace tackpick::load {

ReceivedResponse readAnswer(const runtime::Json& tokens, const runtime::Json& weights) {
  ReceivedResponse answer;
  for (const runtime::Json& token : tokens) {
    answer.tokens.push_back(token.get<engine::Token>());
  }
  for (const runtime::Json& span : weights) {
    answer.spans.push_back({base::WeightsVersion{span["version"].get<std::uint64_t>()},
                            span["first"].get<std::uint32_t>(),
                            span["count"].get<std::uint32_t>()});
  }
  return answer;
}

}  // namespace tackpick::load
