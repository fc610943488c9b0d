/// \file
/// One emulated engine behind an HTTP server of its own.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/timer.h"
#include "engine/engine_simulator.h"
#include "http/server.h"

namespace tackpick::emulator {

/// Where and as what an emulated engine runs.
struct EmulatedEngineSettings {
  base::EngineId id;
  base::Incarnation incarnation;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string zone;
  engine::EngineSimulatorSettings model;
  bool recordRuns = true;
};

/// Drives an EngineSimulator in real time. Closing the connection of a request cancels it.
class EmulatedEngine {
 public:
  EmulatedEngine(asio::io_context& context, EmulatedEngineSettings settings,
                 engine::WeightStore& store, base::Random& random);

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] const EmulatedEngineSettings& settings() const { return settings_; }
  [[nodiscard]] engine::EngineSimulator& model() { return model_; }
  /// Runs of not-repeatable requests by (prompt, seed); more than one is a broken promise.
  [[nodiscard]] std::uint64_t notRepeatableRunTwice() const;

 private:
  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void generate(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void order(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void load(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void cacheTransfer(const http::Request& request,
                     const std::shared_ptr<http::Responder>& responder);
  void advance();
  void schedule();

  asio::io_context& context_;
  EmulatedEngineSettings settings_;
  base::MonotonicTimeSource clock_;
  engine::EngineSimulator model_;
  std::unordered_map<base::AttemptId, std::shared_ptr<http::Responder>> streams_;
  base::Timer timer_;
  http::Server server_;
};

}  // namespace tackpick::emulator
