/// \file
/// Interface through which the modules of a gateway call the ledgers.
#pragma once

#include <functional>

#include "base/time.h"
#include "jobs/job_messages.h"

namespace tackpick::jobs {

class LedgerClient {
 public:
  virtual ~LedgerClient() = default;

  /// Receives the reply, or null if there was none by the deadline; the request may then still take
  /// effect.
  using Callback = std::function<void(const JobReply* reply)>;
  virtual void call(const JobRequest& request, base::Duration deadline, base::TimePoint now,
                    Callback callback) = 0;
};

}  // namespace tackpick::jobs
