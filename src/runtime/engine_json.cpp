#include "runtime/engine_json.h"

#include <limits>

namespace tackpick::runtime {
namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

// 64-bit identifiers are written as decimal strings, because not all JSON implementations support
// 64-bit numbers.
std::string idToString(std::uint64_t value) { return std::to_string(value); }

std::uint64_t parseId(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_string()) {
    return 0;
  }
  std::uint64_t value = 0;
  for (const char c : object[key].get_ref<const std::string&>()) {
    constexpr std::uint64_t kDecimalBase = 10;
    if (c < '0' || c > '9') {
      return 0;
    }
    value = value * kDecimalBase + static_cast<std::uint64_t>(c - '0');
  }
  return value;
}

Json statusJson(const engine::EngineStatus& status) {
  return {{"engine", status.engine.value},
          {"incarnation", idToString(status.incarnation.value)},
          {"model", status.model},
          {"active_version", status.activeVersion.value},
          {"prepared_version", status.preparedVersion.value},
          {"role", static_cast<int>(status.role)},
          {"leaving", status.draining},
          {"slots", status.slots},
          {"running", status.running},
          {"waiting", status.waiting},
          {"cache_blocks_used", status.cacheBlocksUsed},
          {"cache_blocks_total", status.cacheBlocksTotal},
          {"age_us", status.age.count()}};
}

engine::EngineStatus parseEngineStatus(const Json& object) {
  JsonReader reader(object);
  engine::EngineStatus status;
  const auto readUint32 = [&](const char* key) {
    return static_cast<std::uint32_t>(reader.getInteger(key, 0, 0, kMaxUint32));
  };
  const auto readUint64 = [&](const char* key) {
    return static_cast<std::uint64_t>(reader.getInteger(key, 0, 0, kMaxInt64));
  };
  status.engine = {readUint64("engine")};
  status.incarnation = {parseId(object, "incarnation")};
  status.model = reader.getString("model");
  status.activeVersion = {readUint64("active_version")};
  status.preparedVersion = {readUint64("prepared_version")};
  status.role = static_cast<engine::EngineRole>(reader.getInteger("role", 0, 0, 2));
  status.draining = reader.getBool("leaving", false);
  status.slots = readUint32("slots");
  status.running = readUint32("running");
  status.waiting = readUint32("waiting");
  status.cacheBlocksUsed = readUint64("cache_blocks_used");
  status.cacheBlocksTotal = readUint64("cache_blocks_total");
  status.age = base::Duration(reader.getInteger("age_us", 0, 0, kMaxInt64));
  return status;
}

const std::vector<std::pair<engine::EndKind, std::string>>& attemptOutcomeNames() {
  static const std::vector<std::pair<engine::EndKind, std::string>> kNames = {
      {engine::EndKind::kFinished, "finished"},   {engine::EndKind::kRejected, "refused"},
      {engine::EndKind::kCancelled, "cancelled"}, {engine::EndKind::kFailed, "failed"},
      {engine::EndKind::kLost, "lost"},
  };
  return kNames;
}

}  // namespace

std::string toJson(const engine::GenerateRequest& request) {
  return Json{{"attempt", idToString(request.attempt.value)},
              {"model", request.model},
              {"prompt", request.prompt},
              {"seed", idToString(request.seed)},
              {"max_tokens", request.maximumTokens},
              {"resume_from", request.resumeFrom},
              {"priority", request.priority},
              {"minimum_version", request.minimumVersion.value},
              {"not_repeatable", request.notRepeatable}}
      .dump();
}

base::Result<engine::GenerateRequest> parseGenerateRequest(const std::string& body) {
  BOOST_LEAF_AUTO(object, parseJson(body));
  JsonReader reader(object);
  engine::GenerateRequest request;
  request.attempt = {parseId(object, "attempt")};
  request.model = reader.getRequiredString("model");
  request.prompt = reader.getString("prompt");
  request.seed = parseId(object, "seed");
  const auto readUint32 = [&](const char* key) {
    return static_cast<std::uint32_t>(reader.getInteger(key, 0, 0, kMaxUint32));
  };
  request.maximumTokens = readUint32("max_tokens");
  request.resumeFrom = readUint32("resume_from");
  request.priority = readUint32("priority");
  request.minimumVersion = {
      static_cast<std::uint64_t>(reader.getInteger("minimum_version", 0, 0, kMaxInt64))};
  request.notRepeatable = reader.getBool("not_repeatable", false);
  if (!request.attempt.valid()) {
    reader.addError("attempt: expected a decimal string");
  }
  if (!reader.firstError().empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, reader.firstError());
  }
  return request;
}

std::string toJson(const engine::Chunk& chunk) {
  // Formatted without the JSON library because this is the hot path of a stream.
  std::string text = "{\"offset\":" + std::to_string(chunk.offset) +
                     ",\"version\":" + std::to_string(chunk.version.value) + ",\"tokens\":[";
  for (std::size_t i = 0; i < chunk.tokens.size(); ++i) {
    text += (i == 0 ? "" : ",") + std::to_string(chunk.tokens[i]);
  }
  return text + "]}";
}

std::string toJson(const engine::AttemptEnd& end) {
  std::string name;
  for (const auto& [kind, text] : attemptOutcomeNames()) {
    name = kind == end.kind ? text : name;
  }
  return Json{{"end", name},
              {"total_tokens", end.totalTokens},
              {"finish_reason", end.finishReason},
              {"message", end.message}}
      .dump();
}

std::optional<StreamEvent> parseStreamEvent(std::string_view data, base::AttemptId attempt) {
  const Json object = Json::parse(data, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  JsonReader reader(object);
  StreamEvent event;
  if (object.contains("end")) {
    engine::AttemptEnd end;
    end.attempt = attempt;
    const std::string name = reader.getString("end");
    for (const auto& [kind, text] : attemptOutcomeNames()) {
      end.kind = text == name ? kind : end.kind;
    }
    end.totalTokens =
        static_cast<std::uint32_t>(reader.getInteger("total_tokens", 0, 0, kMaxUint32));
    end.finishReason = reader.getString("finish_reason");
    end.message = reader.getString("message");
    end.verdict =
        end.kind == engine::EndKind::kFinished ? base::Verdict::kRan : base::Verdict::kMayHaveRun;
    event.end = std::move(end);
  } else {
    engine::Chunk chunk;
    chunk.attempt = attempt;
    chunk.offset = static_cast<std::uint32_t>(reader.getInteger("offset", 0, 0, kMaxUint32));
    chunk.version = {static_cast<std::uint64_t>(reader.getInteger("version", 0, 0, kMaxInt64))};
    for (const Json& token : reader.getArray("tokens")) {
      if (!token.is_number_unsigned()) {
        return std::nullopt;
      }
      chunk.tokens.push_back(token.get<engine::Token>());
    }
    event.chunk = std::move(chunk);
  }
  return reader.firstError().empty() ? std::optional(std::move(event)) : std::nullopt;
}

std::string toJson(const EngineLoadReport& report) {
  Json object = statusJson(report.status);
  Json events = Json::array();
  for (const engine::SequencedCacheEvent& cacheEvent : report.cacheEvents) {
    const bool stored = cacheEvent.event.kind == engine::CacheEventKind::kStored;
    events.push_back({cacheEvent.sequence, idToString(cacheEvent.event.block), stored});
  }
  object["cache_events"] = std::move(events);
  object["cache_sequence"] = report.cacheSequence;
  return object.dump();
}

std::optional<EngineLoadReport> parseEngineLoadReport(const std::string& body) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  JsonReader reader(object);
  EngineLoadReport report;
  report.status = parseEngineStatus(object);
  report.cacheSequence =
      static_cast<std::uint64_t>(reader.getInteger("cache_sequence", 0, 0, kMaxInt64));
  for (const Json& item : reader.getArray("cache_events")) {
    const bool isWellFormed = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() &&
                              item[1].is_string() && item[2].is_boolean();
    if (!isWellFormed) {
      return std::nullopt;
    }
    engine::SequencedCacheEvent cacheEvent;
    cacheEvent.sequence = item[0].get<std::uint64_t>();
    cacheEvent.event.block = parseId(Json{{"block", item[1]}}, "block");
    cacheEvent.event.kind =
        item[2].get<bool>() ? engine::CacheEventKind::kStored : engine::CacheEventKind::kEvicted;
    report.cacheEvents.push_back(cacheEvent);
  }
  return reader.firstError().empty() ? std::optional(std::move(report)) : std::nullopt;
}

std::string toJson(const engine::EngineCommand& command) {
  return Json{{"fence_term", command.fence.term},
              {"fence_sequence", command.fence.sequence},
              {"kind", static_cast<int>(command.kind)},
              {"model", command.model},
              {"adapter", command.adapter},
              {"version", command.version.value},
              {"role", static_cast<int>(command.role)}}
      .dump();
}

base::Result<engine::EngineCommand> parseEngineCommand(const std::string& body) {
  BOOST_LEAF_AUTO(object, parseJson(body));
  JsonReader reader(object);
  engine::EngineCommand command;
  const auto readUint64 = [&](const char* key) {
    return static_cast<std::uint64_t>(reader.getInteger(key, 0, 0, kMaxInt64));
  };
  command.fence = {readUint64("fence_term"), readUint64("fence_sequence")};
  constexpr auto kLastKind = static_cast<std::int64_t>(engine::EngineCommandKind::kSetRole);
  command.kind = static_cast<engine::EngineCommandKind>(reader.getInteger("kind", 0, 0, kLastKind));
  command.model = reader.getString("model");
  command.adapter = reader.getString("adapter");
  command.version = {readUint64("version")};
  command.role = static_cast<engine::EngineRole>(reader.getInteger("role", 0, 0, 2));
  if (!reader.firstError().empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, reader.firstError());
  }
  return command;
}

std::string toJson(const engine::EngineCommandReply& reply) {
  return Json{{"status", static_cast<int>(reply.status)}, {"state", statusJson(reply.state)}}
      .dump();
}

std::optional<engine::EngineCommandReply> parseEngineCommandReply(const std::string& body) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("state")) {
    return std::nullopt;
  }
  JsonReader reader(object);
  engine::EngineCommandReply reply;
  constexpr auto kLastStatus = static_cast<std::int64_t>(engine::EngineCommandStatus::kFailed);
  reply.status =
      static_cast<engine::EngineCommandStatus>(reader.getInteger("status", 0, 0, kLastStatus));
  reply.state = parseEngineStatus(object["state"]);
  return reply;
}

std::string toJson(const std::vector<control::MachineListEntry>& machines) {
  Json list = Json::array();
  for (const control::MachineListEntry& machine : machines) {
    const control::EngineRecord& record = machine.engine;
    list.push_back({{"engine", record.engine.value},
                    {"incarnation", idToString(record.incarnation.value)},
                    {"host", record.host},
                    {"port", record.port},
                    {"zone", record.zone},
                    {"model", record.model},
                    {"state", record.draining ? "leaving" : "live"}});
  }
  return Json{{"machines", std::move(list)}}.dump();
}

std::optional<std::vector<control::MachineListEntry>> parseMachineList(const std::string& body) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  JsonReader listReader(object);
  std::vector<control::MachineListEntry> machines;
  for (const Json& item : listReader.getArray("machines")) {
    JsonReader reader(item);
    control::MachineListEntry machine;
    control::EngineRecord& record = machine.engine;
    record.engine = {static_cast<std::uint64_t>(reader.getInteger("engine", 0, 1, kMaxInt64))};
    record.incarnation = {parseId(item, "incarnation")};
    record.host = reader.getString("host");
    constexpr std::int64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
    record.port = static_cast<std::uint16_t>(reader.getInteger("port", 0, 1, kMaxPort));
    record.zone = reader.getString("zone");
    record.model = reader.getString("model");
    record.draining = reader.getString("state") == "leaving";
    if (!reader.firstError().empty()) {
      return std::nullopt;
    }
    machines.push_back(std::move(machine));
  }
  return listReader.firstError().empty() ? std::optional(std::move(machines)) : std::nullopt;
}

}  // namespace tackpick::runtime
