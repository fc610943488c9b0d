/// \file
/// tackpickctl: command `work`.
#include <algorithm>
#include <iostream>

#include "commands.h"
#include "work_table.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/// Calls each controller at most once, without retries. Every controller queries the leaders of
/// both groups, so that further calls would not help if a leader is missing.
ControlResponse fetchWork(const ControlAddress& address) {
  ControlResponse last;
  for (const std::string& url : address.urls) {
    ControlResponse response = callController(url, address.token, "GET", "/v1/work", "");
    if (response.status == kOk && response.body.is_object()) {
      return response;
    }
    last = response.status == 0 ? last : response;
  }
  return last;
}

void printNoResponse(const ControlResponse& response) {
  if (response.status == 0) {
    std::cerr << "no controller answered\n";
  } else if (response.status == kUnavailable) {
    std::cerr << "the controllers found no leader of the controllers or the ledgers\n";
  } else {
    std::cerr << "a controller answered with status " << response.status << "\n";
  }
}

void print(const Invocation& invocation, const Json& response,
           const std::vector<std::string>& sections) {
  Json shown = Json::object();
  for (const std::string& section : sections) {
    if (invocation.json) {
      shown[section] = workSection(response, section);
    } else {
      std::cout << workTable(response, section);
    }
  }
  if (invocation.json) {
    std::cout << shown.dump(2) << "\n";
  }
}

}  // namespace

int work(const Invocation& invocation) {
  const std::vector<std::string>& sections =
      invocation.arguments.empty() ? workSections() : invocation.arguments;
  if (!std::all_of(sections.begin(), sections.end(), isWorkSection)) {
    std::cerr << "usage: tackpickctl work [jobs|tenants|models|engines|gateways]...\n";
    return kUsageError;
  }
  const ControlResponse response = fetchWork(invocation.address);
  if (response.status != kOk || !response.body.is_object()) {
    printNoResponse(response);
    return kUnreachable;
  }
  print(invocation, response.body, sections);
  const bool allAnswered = std::all_of(
      sections.begin(), sections.end(),
      [&](const std::string& section) { return hasWorkSection(response.body, section); });
  return allAnswered ? kSuccess : kUnreachable;
}

}  // namespace tackpick::ctl
