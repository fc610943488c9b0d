/// \file
/// Parsing of responses for the checks.
#pragma once

#include "checking/response_check.h"
#include "runtime/json.h"

namespace tackpick::load {

using checking::hasCorrectVersions;
using checking::hasExpectedLength;
using checking::ReceivedResponse;

/// Parses the fields `token_ids` and `weights` of a response or sample.
[[nodiscard]] ReceivedResponse parseResponse(const runtime::Json& tokens,
                                             const runtime::Json& weights);

}  // namespace tackpick::load
