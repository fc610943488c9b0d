/// \file
/// A stand-in for the ledgers that keeps what it is asked; the test answers.
#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "jobs/ledger_client.h"

namespace tackpick::test {

class RecordingLedgers final : public jobs::LedgerClient {
 public:
  void call(const jobs::JobRequest& request, base::Duration /*deadline*/, base::TimePoint /*now*/,
            Callback callback) override {
    requests.push_back(std::get<jobs::SaveProgress>(request));
    callbacks.push_back(std::move(callback));
  }
  void answer(bool known) {
    const jobs::JobReply reply;
    std::exchange(callbacks, {}).back()(known ? &reply : nullptr);
  }

  std::vector<jobs::SaveProgress> requests;
  std::vector<Callback> callbacks;
};

}  // namespace tackpick::test
