/// \file
/// HTTP status codes that the product sends or handles (RFC 9110, section 15).
#pragma once

namespace tackpick::http::status {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderFieldsTooLarge = 431;
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace tackpick::http::status
