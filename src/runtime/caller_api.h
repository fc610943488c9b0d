/// \file
/// HTTP interface of a gateway for callers. Documented in docs/API.md.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/actions.h"
#include "http/server.h"
#include "runtime/daemon.h"
#include "runtime/json.h"
#include "runtime/trainer_api.h"

namespace tackpick::runtime {

/// Translates between HTTP and the Gateway. Forwards the requests of trainers to TrainerApi. Runs
/// on the daemon's thread.
class CallerApi {
 public:
  explicit CallerApi(Daemon& daemon) : daemon_(daemon), trainer_api_(daemon) {}

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  /// Executes an action that concerns a caller.
  void execute(const gateway::Action& action);
  /// Returns the number of requests without a complete response.
  [[nodiscard]] std::size_t openRequestCount() const { return m_openRequests.size(); }

 private:
  using ResponderPtr = std::shared_ptr<http::Responder>;
  struct OpenRequest {
    ResponderPtr responder;
    bool wantsStream = false;
    bool streamStarted = false;  ///< whether the event stream has begun
  };

  [[nodiscard]] std::optional<control::CredentialRecord> authenticate(
      const http::Request& request) const;
  void createCompletion(const http::Request& request, const control::CredentialRecord& credential,
                        const ResponderPtr& responder);
  void execute(const gateway::StreamTokens& tokens);
  void execute(const gateway::CompleteRequest& answer);
  void execute(const gateway::ReplayResponse& answer);
  void execute(const gateway::RejectRequest& rejection);

  Daemon& daemon_;
  TrainerApi trainer_api_;
  std::uint64_t m_lastRequestId = 0;
  std::unordered_map<base::CallerId, OpenRequest> m_openRequests;
};

}  // namespace tackpick::runtime
