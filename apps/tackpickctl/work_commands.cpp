/// \file
/// tackpickctl: what waits and why.
#include <algorithm>
#include <iostream>

#include "commands.h"
#include "work_table.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Asks one controller after the other, once: each asks the leaders of both groups itself, and an
/// operator who looks for a fault should not wait long where there is no leader.
ControlAnswer readWork(const ControlAddress& address) {
  ControlAnswer last;
  for (const std::string& url : address.urls) {
    ControlAnswer answer = callOne(url, address.token, "GET", "/v1/work", "");
    if (answer.status == kOk && answer.body.is_object()) {
      return answer;
    }
    last = answer.status == 0 ? last : answer;
  }
  return last;
}

void tellUnanswered(const ControlAnswer& answer) {
  if (answer.status == 0) {
    std::cerr << "no controller answered\n";
  } else if (answer.status == kUnavailable) {
    std::cerr << "controllers answer, and found no leader of the controllers nor of the ledgers\n";
  } else {
    std::cerr << "a controller answered with status " << answer.status << "\n";
  }
}

void print(const Invocation& invocation, const Json& answer,
           const std::vector<std::string>& parts) {
  Json shown = Json::object();
  for (const std::string& part : parts) {
    if (invocation.json) {
      shown[part] = workPart(answer, part);
    } else {
      std::cout << workTable(answer, part);
    }
  }
  if (invocation.json) {
    std::cout << shown.dump(2) << "\n";
  }
}

}  // namespace

int work(const Invocation& invocation) {
  const std::vector<std::string>& parts =
      invocation.arguments.empty() ? workParts() : invocation.arguments;
  if (!std::all_of(parts.begin(), parts.end(), isWorkPart)) {
    std::cerr << "usage: tackpickctl work [jobs|tenants|models|engines|gateways]...\n";
    return kUsage;
  }
  const ControlAnswer answer = readWork(invocation.address);
  if (answer.status != kOk || !answer.body.is_object()) {
    tellUnanswered(answer);
    return kUnreachable;
  }
  print(invocation, answer.body, parts);
  const bool whole = std::all_of(parts.begin(), parts.end(), [&](const std::string& part) {
    return hasWorkPart(answer.body, part);
  });
  return whole ? kSuccess : kUnreachable;
}

}  // namespace tackpick::ctl
