/// \file
/// Emulated engine with an HTTP server.
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

/// Settings of an emulated engine.
struct EmulatedEngineSettings {
  base::EngineId id;
  base::Incarnation incarnation;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string zone;
  engine::EngineSimulatorSettings model;
  bool recordRuns = true;  ///< whether a record of each executed attempt is kept
};

/// Runs an EngineSimulator in real time and serves the HTTP interface of an engine. A request is
/// cancelled when its connection is closed.
class EmulatedEngine {
 public:
  EmulatedEngine(asio::io_context& context, EmulatedEngineSettings settings,
                 engine::WeightStore& store, base::Random& random);

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] const EmulatedEngineSettings& settings() const { return settings_; }
  [[nodiscard]] engine::EngineSimulator& model() { return model_; }
  /// Returns the number of executions of not-repeatable requests, identified by prompt and seed,
  /// beyond the first execution of each request. Must be zero.
  [[nodiscard]] std::uint64_t notRepeatableDuplicates() const;

 private:
  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void handleGenerate(const http::Request& request,
                      const std::shared_ptr<http::Responder>& responder);
  void handleCommand(const http::Request& request,
                     const std::shared_ptr<http::Responder>& responder);
  void handleLoad(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void handleCacheTransfer(const http::Request& request,
                           const std::shared_ptr<http::Responder>& responder);
  void advance();
  void schedule();

  asio::io_context& context_;
  EmulatedEngineSettings settings_;
  base::MonotonicTimeSource clock_;
  engine::EngineSimulator model_;
  /// Streamed response by running attempt.
  std::unordered_map<base::AttemptId, std::shared_ptr<http::Responder>> streams_;
  base::Timer timer_;
  http::Server server_;
};

}  // namespace tackpick::emulator
