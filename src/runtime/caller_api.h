/// \file
/// HTTP interface of a gateway: callers, and the way to the trainers' part. Documented in
/// docs/API.md.
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

/// Translates between HTTP and the Gateway. Runs on the daemon's thread.
class CallerApi {
 public:
  explicit CallerApi(Daemon& daemon) : daemon_(daemon), trainer_api_(daemon) {}

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  /// Carries out an action meant for a caller.
  void execute(const gateway::Action& action);
  /// Callers whose answer is not complete.
  [[nodiscard]] std::size_t openRequests() const { return callers_.size(); }

 private:
  using ResponderPointer = std::shared_ptr<http::Responder>;
  struct Caller {
    ResponderPointer responder;
    bool stream = false;
    bool streaming = false;  ///< the stream has begun
  };

  [[nodiscard]] std::optional<control::CredentialRecord> authenticate(
      const http::Request& request) const;
  void completions(const http::Request& request, const control::CredentialRecord& credential,
                   const ResponderPointer& responder);
  void execute(const gateway::StreamTokens& tokens);
  void execute(const gateway::CompleteRequest& answer);
  void execute(const gateway::ReplayResponse& answer);
  void execute(const gateway::RejectRequest& refusal);

  Daemon& daemon_;
  TrainerApi trainer_api_;
  std::uint64_t last_caller_ = 0;
  std::unordered_map<base::CallerId, Caller> callers_;
};

}  // namespace tackpick::runtime
