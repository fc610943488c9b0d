/// \file
/// Reads answers out of JSON for checking.
#pragma once

#include "checking/answer_check.h"
#include "runtime/json.h"

namespace tackpick::load {

using checking::hasCorrectVersions;
using checking::isWhole;
using checking::ReceivedAnswer;

/// Reads `token_ids` and `weights` of an answer or sample.
[[nodiscard]] ReceivedAnswer readAnswer(const runtime::Json& tokens, const runtime::Json& weights);

}  // namespace tackpick::load
