/// \file
/// tackpickctl: command `capacity`.
#include <iomanip>
#include <iostream>

#include "commands.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;

void printPool(const Json& pool) {
  constexpr int kNameWidth = 20;
  constexpr int kKindWidth = 13;
  std::cout << std::left << std::setw(kNameWidth) << pool.value("service", "")
            << std::setw(kNameWidth) << pool.value("zone", "") << std::setw(kKindWidth)
            << pool.value("kind", "") << " desired=" << pool.value("desired", 0)
            << (pool.value("taken", false) ? "" : "?") << " there=" << pool.value("there", 0)
            << " starting=" << pool.value("starting", 0) << " leaving=" << pool.value("leaving", 0)
            << " refusals=" << pool.value("refusals", 0) << "\n";
}

}  // namespace

int capacity(const Invocation& invocation) {
  const ControlResponse response = callControllers(invocation.address, "GET", "/v1/capacity", "");
  if (response.status != kOk || !response.body.contains("pools")) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << response.body["pools"].dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& pool : response.body["pools"]) {
    printPool(pool);
  }
  return kSuccess;
}

}  // namespace tackpick::ctl
