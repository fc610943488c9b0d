#include "edge/quarantine_call.h"

#include <string>
#include <string_view>

#include "http/status.h"
#include "runtime/json.h"

namespace tackpick::edge {
namespace {

using runtime::Json;
using namespace http::status;

constexpr std::string_view kListPath = "/v1/quarantine";

Json toJson(const quarantine::HoldSummary& hold) {
  Json row = {{"fingerprint", hold.request.text()},
              {"service", hold.service},
              {"instances", hold.instances},
              {"trials", hold.trials},
              {"held_s", base::toSeconds(hold.heldFor)}};
  const bool noTrialLeft = hold.untilTrial == base::Duration::max();
  row["next_trial_s"] = noTrialLeft ? Json(nullptr) : Json(base::toSeconds(hold.untilTrial));
  return row;
}

}  // namespace

std::optional<ControlCall> quarantineCall(const http::RawRequest& request) {
  const std::string path = request.path();
  if (!path.starts_with(kListPath)) {
    return std::nullopt;
  }
  if (path == kListPath && request.method == "GET") {
    return directory::DirectoryRequest{quarantine::ReadQuarantine{}};
  }
  const std::string_view rest = std::string_view(path).substr(kListPath.size());
  if (!rest.starts_with('/') || request.method != "DELETE") {
    return UnknownCall{};
  }
  const auto fingerprint = quarantine::RequestFingerprint::parse(rest.substr(1));
  if (!fingerprint) {
    return MalformedCall{"a fingerprint has 32 hexadecimal digits"};
  }
  return directory::DirectoryRequest{quarantine::ReleaseRequest{*fingerprint}};
}

std::optional<Response> quarantineResponse(const directory::DirectoryRequest& request,
                                           const directory::DirectoryReply& reply) {
  Response response;
  if (std::holds_alternative<quarantine::ReadQuarantine>(request)) {
    Json holds = Json::array();
    for (const quarantine::HoldSummary& hold : reply.holds) {
      holds.push_back(toJson(hold));
    }
    response.body = runtime::dumpJson({{"held", holds}});
  } else if (!std::holds_alternative<quarantine::ReleaseRequest>(request)) {
    return std::nullopt;
  } else if (reply.status == directory::DirectoryStatus::kNotFound) {
    response.status = kNotFound;
    response.body = Json{{"error", {{"message", "no such request is held"}}}}.dump();
  } else {
    response.body = Json{{"status", "released"}}.dump();
  }
  response.headers.add("Content-Type", "application/json");
  return response;
}

}  // namespace tackpick::edge
