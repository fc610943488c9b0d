/// \file
/// HTTP client of gateways and controllers for the engines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "control/control_delta.h"
#include "engine/engine_commands.h"
#include "engine/generation.h"
#include "http/client.h"
#include "runtime/engine_json.h"

namespace tackpick::runtime {

/// Callbacks for events from engines. Called on the thread of the event loop, never from within a
/// call to EngineClient.
struct EngineEvents {
  std::function<void(const engine::Chunk&)> onChunk;
  std::function<void(const engine::AttemptEnd&)> onEnd;
  std::function<void(base::EngineId, const EngineLoadReport&)> onReport;
  std::function<void(base::EngineId, const engine::EngineCommandReply&)> onCommandReply;
  std::function<void(base::EngineId)> onCommandFailed;
};

/// Sends attempts, load polls and commands to engines as HTTP requests.
class EngineClient {
 public:
  EngineClient(http::Client& client, EngineEvents events)
      : client_(client), events_(std::move(events)) {}

  void setAddress(base::EngineId engine, const std::string& host, std::uint16_t port);
  void startAttempt(base::EngineId engine, const engine::GenerateRequest& request);
  void cancelAttempt(base::EngineId engine, base::AttemptId attempt);
  void pollLoad(base::EngineId engine);
  void sendLoadCommand(base::EngineId engine, const engine::EngineCommand& command);

 private:
  struct RunningAttempt {
    http::TransferId transfer;
    EventStreamParser parser;
    bool ended = false;
  };

  [[nodiscard]] std::string url(base::EngineId engine, const std::string& path) const;
  void onStreamData(base::AttemptId attempt, std::string_view bytes);
  void onStreamDone(base::AttemptId attempt, const http::ClientResult& result);

  http::Client& client_;
  EngineEvents events_;
  std::map<base::EngineId, std::string> addresses_;
  std::unordered_map<base::AttemptId, RunningAttempt> attempts_;
  std::map<base::EngineId, http::TransferId> m_pendingPolls;
  std::map<base::EngineId, std::uint64_t> cache_sequences_;
};

}  // namespace tackpick::runtime
