/// \file
/// Responses shared by the HTTP interfaces of a gateway. Documented in docs/API.md.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/verdict.h"
#include "http/server.h"
#include "ledger/ledger_commands.h"
#include "runtime/json.h"

namespace tackpick::runtime {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
inline constexpr std::int64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

[[nodiscard]] const http::Headers& jsonHeaders();
/// Returns the JSON body of an error response.
[[nodiscard]] std::string errorBody(const std::string& reason, const std::string& message,
                                    base::Verdict verdict, base::Duration retryAfter);
/// Sends an error response. The body and a header contain the verdict.
void respondError(http::Responder& responder, int status, const std::string& reason,
                  const std::string& message, base::Verdict verdict = base::Verdict::kNotRun,
                  base::Duration retryAfter = base::Duration{0});
/// Returns the body of the request; an empty object, with `errorMessage` set, if it is not valid
/// JSON.
[[nodiscard]] Json parseBody(const http::Request& request, std::string& errorMessage);
/// Returns the weights version of each range of tokens as JSON.
[[nodiscard]] Json spansJson(const std::vector<ledger::VersionSpan>& spans);

}  // namespace tackpick::runtime
