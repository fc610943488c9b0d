/// \file
/// Fake ledgers that record requests; the test replies.
#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "jobs/ledger_client.h"

namespace tackpick::test {

class FakeLedgerClient final : public jobs::LedgerClient {
 public:
  void call(const jobs::JobRequest& request, base::Duration /*deadline*/, base::TimePoint /*now*/,
            Callback callback) override {
    requests.push_back(std::get<jobs::SaveProgress>(request));
    callbacks.push_back(std::move(callback));
  }
  void finishCall(bool acknowledged) {
    const jobs::JobReply reply;
    std::exchange(callbacks, {}).back()(acknowledged ? &reply : nullptr);
  }

  std::vector<jobs::SaveProgress> requests;
  std::vector<Callback> callbacks;
};

}  // namespace tackpick::test
