/// \file
/// tackpickctl: requests that are held since instances ended under them.
#include <iomanip>
#include <iostream>

#include "commands.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr const char* kPath = "/v1/quarantine";

void printHold(const Json& hold) {
  constexpr int kServiceWidth = 20;
  std::cout << hold.value("fingerprint", "") << "  " << std::left << std::setw(kServiceWidth)
            << hold.value("service", "") << " instances=" << hold["instances"].size()
            << " trials=" << hold.value("trials", 0) << " held_s=" << hold.value("held_s", 0.0)
            << " next_trial_s=" << hold["next_trial_s"] << "\n";
}

}  // namespace

int quarantine(const Invocation& invocation) {
  const ControlAnswer answer = callControllers(invocation.address, "GET", kPath, "");
  if (answer.status != kOk || !answer.body.contains("held")) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << answer.body["held"].dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& hold : answer.body["held"]) {
    printHold(hold);
  }
  return kSuccess;
}

int release(const Invocation& invocation) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "usage: tackpickctl release FINGERPRINT\n";
    return kUsage;
  }
  const std::string path = std::string(kPath) + "/" + invocation.arguments.front();
  const ControlAnswer answer = callControllers(invocation.address, "DELETE", path, "");
  if (answer.status == 0) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (answer.status != kOk) {
    std::cerr << "no such request is held, or that is no fingerprint\n";
    return kRefused;
  }
  std::cout << "released\n";
  return kSuccess;
}

}  // namespace tackpick::ctl
