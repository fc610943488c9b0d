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
  using ResponderPointer = std::shared_ptr<http::Responder>;

  [[nodiscard]] bool isOperator(const http::Request& request) const;
  void status(const ResponderPointer& responder);
  void state(const ResponderPointer& responder);
  void history(const http::Request& request, const ResponderPointer& responder);
  void apply(const http::Request& request, const ResponderPointer& responder);
  void drain(const http::Request& request, const ResponderPointer& responder);
  void putCredential(const http::Request& request, const ResponderPointer& responder);
  void members(const http::Request& request, const ResponderPointer& responder);
  void submit(const control::ControlCommand& command, const ResponderPointer& responder);
  void respondNotLeader(const ResponderPointer& responder);

  Daemon& daemon_;
};

}  // namespace tackpick::runtime
