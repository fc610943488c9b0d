/// \file
/// tackpickctl: commands for quarantined requests.
#include <iomanip>
#include <iostream>

#include "commands.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr const char* kPath = "/v1/quarantine";

void printQuarantined(const Json& entry) {
  constexpr int kServiceWidth = 20;
  std::cout << entry.value("fingerprint", "") << "  " << std::left << std::setw(kServiceWidth)
            << entry.value("service", "") << " instances=" << entry["instances"].size()
            << " trials=" << entry.value("trials", 0) << " held_s=" << entry.value("held_s", 0.0)
            << " next_trial_s=" << entry["next_trial_s"] << "\n";
}

}  // namespace

int quarantine(const Invocation& invocation) {
  const ControlResponse response = callControllers(invocation.address, "GET", kPath, "");
  if (response.status != kOk || !response.body.contains("held")) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << response.body["held"].dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& entry : response.body["held"]) {
    printQuarantined(entry);
  }
  return kSuccess;
}

int release(const Invocation& invocation) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "usage: tackpickctl release FINGERPRINT\n";
    return kUsageError;
  }
  const std::string path = std::string(kPath) + "/" + invocation.arguments.front();
  const ControlResponse response = callControllers(invocation.address, "DELETE", path, "");
  if (response.status == 0) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (response.status != kOk) {
    std::cerr << "no quarantined request has this fingerprint\n";
    return kRejected;
  }
  std::cout << "released\n";
  return kSuccess;
}

}  // namespace tackpick::ctl
