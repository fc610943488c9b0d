/// \file
/// HTTP interface of a controller for operators. Documented in docs/API.md.
#pragma once

#include <memory>

#include "control/control_commands.h"
#include "http/server.h"
#include "runtime/daemon.h"
#include "runtime/json.h"

namespace tackpick::runtime {

/// Translates between HTTP and the Controller. Runs on the daemon's thread.
class ControlApi {
 public:
  explicit ControlApi(Daemon& daemon) : daemon_(daemon) {}

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

 private:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  [[nodiscard]] bool isOperator(const http::Request& request) const;
  void status(const ResponderPtr& responder);
  void state(const ResponderPtr& responder);
  void history(const http::Request& request, const ResponderPtr& responder);
  void applyChange(const http::Request& request, const ResponderPtr& responder);
  void drain(const http::Request& request, const ResponderPtr& responder);
  void putCredential(const http::Request& request, const ResponderPtr& responder);
  void changeMembership(const http::Request& request, const ResponderPtr& responder);
  void submit(const control::ControlCommand& command, const ResponderPtr& responder);
  void respondNotLeader(const ResponderPtr& responder);

  Daemon& daemon_;
};

}  // namespace tackpick::runtime
