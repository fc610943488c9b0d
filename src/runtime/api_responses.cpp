#include "runtime/api_responses.h"

namespace tackpick::runtime {

using base::Verdict;

const http::Headers& jsonHeaders() {
  static const http::Headers kHeaders = {{"Content-Type", "application/json"}};
  return kHeaders;
}

std::string errorBody(const std::string& reason, const std::string& message, Verdict verdict,
                      base::Duration retryAfter) {
  return dumpJson({{"error",
                    {{"reason", reason},
                     {"message", message},
                     {"verdict", std::string(base::toString(verdict))},
                     {"retry_after_ms", retryAfter.count() / 1000}}}});
}

void respondError(http::Responder& responder, int status, const std::string& reason,
                  const std::string& message, Verdict verdict, base::Duration retryAfter) {
  http::Headers headers = jsonHeaders();
  headers["X-Verdict"] = std::string(base::toString(verdict));
  if (retryAfter.count() > 0) {
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    const std::int64_t wholeSeconds =
        (retryAfter.count() + kMicrosecondsPerSecond - 1) / kMicrosecondsPerSecond;
    headers["Retry-After"] = std::to_string(wholeSeconds);
  }
  responder.respond(status, headers, errorBody(reason, message, verdict, retryAfter));
}

Json parseBody(const http::Request& request, std::string& errorMessage) {
  return base::recover([&] { return parseJson(request.body); },
                       [&](const base::Error& error) {
                         errorMessage = error.message;
                         return Json::object();
                       });
}

Json spansJson(const std::vector<ledger::VersionSpan>& spans) {
  Json list = Json::array();
  for (const ledger::VersionSpan& span : spans) {
    list.push_back({{"version", span.version.value}, {"first", span.first}, {"count", span.count}});
  }
  return list;
}

}  // namespace tackpick::runtime
