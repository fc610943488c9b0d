/// \file
/// JSON format of the engines' HTTP interface, shared by the gateway and the engine emulator.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/controller.h"
#include "engine/engine_simulator.h"
#include "runtime/json.h"

namespace tackpick::runtime {

[[nodiscard]] std::string toJson(const engine::GenerateRequest& request);
[[nodiscard]] base::Result<engine::GenerateRequest> parseGenerateRequest(const std::string& body);

/// Returns the data of one server-sent event.
[[nodiscard]] std::string toJson(const engine::Chunk& chunk);
[[nodiscard]] std::string toJson(const engine::AttemptEnd& end);
/// One event of a stream: either a chunk or the end of the attempt.
struct StreamEvent {
  std::optional<engine::Chunk> chunk;
  std::optional<engine::AttemptEnd> end;
};
[[nodiscard]] std::optional<StreamEvent> parseStreamEvent(std::string_view data,
                                                          base::AttemptId attempt);

/// Load report of an engine, with its cache events.
struct EngineLoadReport {
  engine::EngineStatus status;
  std::vector<engine::SequencedCacheEvent> cacheEvents;
  std::uint64_t cacheSequence = 0;  ///< sequence number of the newest reported event
};
[[nodiscard]] std::string toJson(const EngineLoadReport& report);
[[nodiscard]] std::optional<EngineLoadReport> parseEngineLoadReport(const std::string& body);

[[nodiscard]] std::string toJson(const engine::EngineCommand& command);
[[nodiscard]] base::Result<engine::EngineCommand> parseEngineCommand(const std::string& body);
[[nodiscard]] std::string toJson(const engine::EngineCommandReply& reply);
[[nodiscard]] std::optional<engine::EngineCommandReply> parseEngineCommandReply(
    const std::string& body);

/// Returns the JSON format of the platform's machine list.
[[nodiscard]] std::string toJson(const std::vector<control::MachineListEntry>& machines);
[[nodiscard]] std::optional<std::vector<control::MachineListEntry>> parseMachineList(
    const std::string& body);

/// Splits a stream of server-sent events into the data of the events.
class EventStreamParser {
 public:
  /// Parses `bytes` and calls `onData` for each complete event. Returns false if an event exceeds
  /// the maximum size.
  template <typename OnData>
  bool feed(std::string_view bytes, OnData&& onData) {
    constexpr std::size_t kMaxEventBytes = 4U << 20U;
    constexpr std::string_view kSeparator = "\n\n";
    constexpr std::string_view kDataPrefix = "data: ";
    buffer_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find(kSeparator); end != std::string::npos;
         end = buffer_.find(kSeparator, begin)) {
      const std::string_view event = std::string_view(buffer_).substr(begin, end - begin);
      if (event.starts_with(kDataPrefix)) {
        onData(event.substr(kDataPrefix.size()));
      }
      begin = end + kSeparator.size();
    }
    buffer_.erase(0, begin);
    return buffer_.size() <= kMaxEventBytes;
  }

 private:
  std::string buffer_;
};

}  // namespace tackpick::runtime
