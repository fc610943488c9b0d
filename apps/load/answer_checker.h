/// \file
/// Reads answers out of JSON for checking.
#pragma once

#include "checking/response_check.h"
#include "runtime/json.h"

namespace tackpick::load {

using checking::hasCorrectVersions;
using checking::hasExpectedLength;
using checking::ReceivedResponse;

/// Reads `token_ids` and `weights` of an answer or sample.
[[nodiscard]] ReceivedResponse readAnswer(const runtime::Json& tokens,
                                          const runtime::Json& weights);

}  // namespace tackpick::load
