#include "runtime/engine_json.h"

#include <limits>

namespace tackpick::runtime {
namespace {

constexpr std::int64_t kMaximumInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaximumUnsigned32 = std::numeric_limits<std::uint32_t>::max();

// 64-bit identifiers are written as decimal texts: JSON numbers do not carry 64 bits everywhere.
std::string idText(std::uint64_t value) { return std::to_string(value); }

std::uint64_t idOf(const Json& object, const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_string()) {
    return 0;
  }
  std::uint64_t value = 0;
  for (const char c : object[key].get_ref<const std::string&>()) {
    constexpr std::uint64_t kDecimal = 10;
    if (c < '0' || c > '9') {
      return 0;
    }
    value = value * kDecimal + static_cast<std::uint64_t>(c - '0');
  }
  return value;
}

Json statusJson(const engine::EngineStatus& status) {
  return {{"engine", status.engine.value},
          {"incarnation", idText(status.incarnation.value)},
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

engine::EngineStatus readStatus(const Json& object) {
  JsonReader reader(object);
  engine::EngineStatus status;
  const auto unsigned32 = [&](const char* key) {
    return static_cast<std::uint32_t>(reader.integer(key, 0, 0, kMaximumUnsigned32));
  };
  const auto unsigned64 = [&](const char* key) {
    return static_cast<std::uint64_t>(reader.integer(key, 0, 0, kMaximumInteger));
  };
  status.engine = {unsigned64("engine")};
  status.incarnation = {idOf(object, "incarnation")};
  status.model = reader.text("model");
  status.activeVersion = {unsigned64("active_version")};
  status.preparedVersion = {unsigned64("prepared_version")};
  status.role = static_cast<engine::EngineRole>(reader.integer("role", 0, 0, 2));
  status.draining = reader.flag("leaving", false);
  status.slots = unsigned32("slots");
  status.running = unsigned32("running");
  status.waiting = unsigned32("waiting");
  status.cacheBlocksUsed = unsigned64("cache_blocks_used");
  status.cacheBlocksTotal = unsigned64("cache_blocks_total");
  status.age = base::Duration(reader.integer("age_us", 0, 0, kMaximumInteger));
  return status;
}

const std::vector<std::pair<engine::EndKind, std::string>>& endNames() {
  static const std::vector<std::pair<engine::EndKind, std::string>> kNames = {
      {engine::EndKind::kFinished, "finished"},   {engine::EndKind::kRejected, "refused"},
      {engine::EndKind::kCancelled, "cancelled"}, {engine::EndKind::kFailed, "failed"},
      {engine::EndKind::kLost, "lost"},
  };
  return kNames;
}

}  // namespace

std::string toJson(const engine::GenerateRequest& request) {
  return Json{{"attempt", idText(request.attempt.value)},
              {"model", request.model},
              {"prompt", request.prompt},
              {"seed", idText(request.seed)},
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
  request.attempt = {idOf(object, "attempt")};
  request.model = reader.requiredText("model");
  request.prompt = reader.text("prompt");
  request.seed = idOf(object, "seed");
  const auto unsigned32 = [&](const char* key) {
    return static_cast<std::uint32_t>(reader.integer(key, 0, 0, kMaximumUnsigned32));
  };
  request.maximumTokens = unsigned32("max_tokens");
  request.resumeFrom = unsigned32("resume_from");
  request.priority = unsigned32("priority");
  request.minimumVersion = {
      static_cast<std::uint64_t>(reader.integer("minimum_version", 0, 0, kMaximumInteger))};
  request.notRepeatable = reader.flag("not_repeatable", false);
  if (!request.attempt.valid()) {
    reader.problem("attempt: expected a decimal text");
  }
  if (!reader.firstProblem().empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, reader.firstProblem());
  }
  return request;
}

std::string toJson(const engine::Chunk& chunk) {
  // Written by hand: this is the hot path of a stream.
  std::string text = "{\"offset\":" + std::to_string(chunk.offset) +
                     ",\"version\":" + std::to_string(chunk.version.value) + ",\"tokens\":[";
  for (std::size_t i = 0; i < chunk.tokens.size(); ++i) {
    text += (i == 0 ? "" : ",") + std::to_string(chunk.tokens[i]);
  }
  return text + "]}";
}

std::string toJson(const engine::AttemptEnd& end) {
  std::string name;
  for (const auto& [kind, text] : endNames()) {
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
    const std::string name = reader.text("end");
    for (const auto& [kind, text] : endNames()) {
      end.kind = text == name ? kind : end.kind;
    }
    end.totalTokens =
        static_cast<std::uint32_t>(reader.integer("total_tokens", 0, 0, kMaximumUnsigned32));
    end.finishReason = reader.text("finish_reason");
    end.message = reader.text("message");
    end.verdict =
        end.kind == engine::EndKind::kFinished ? base::Verdict::kRan : base::Verdict::kMayHaveRun;
    event.end = std::move(end);
  } else {
    engine::Chunk chunk;
    chunk.attempt = attempt;
    chunk.offset = static_cast<std::uint32_t>(reader.integer("offset", 0, 0, kMaximumUnsigned32));
    chunk.version = {static_cast<std::uint64_t>(reader.integer("version", 0, 0, kMaximumInteger))};
    for (const Json& token : reader.array("tokens")) {
      if (!token.is_number_unsigned()) {
        return std::nullopt;
      }
      chunk.tokens.push_back(token.get<engine::Token>());
    }
    event.chunk = std::move(chunk);
  }
  return reader.firstProblem().empty() ? std::optional(std::move(event)) : std::nullopt;
}

std::string toJson(const EngineReport& report) {
  Json object = statusJson(report.status);
  Json events = Json::array();
  for (const engine::SequencedCacheEvent& numbered : report.cacheEvents) {
    const bool stored = numbered.event.kind == engine::CacheEventKind::kStored;
    events.push_back({numbered.sequence, idText(numbered.event.block), stored});
  }
  object["cache_events"] = std::move(events);
  object["cache_sequence"] = report.cacheSequence;
  return object.dump();
}

std::optional<EngineReport> parseEngineReport(const std::string& body) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  JsonReader reader(object);
  EngineReport report;
  report.status = readStatus(object);
  report.cacheSequence =
      static_cast<std::uint64_t>(reader.integer("cache_sequence", 0, 0, kMaximumInteger));
  for (const Json& item : reader.array("cache_events")) {
    const bool shaped = item.is_array() && item.size() == 3 && item[0].is_number_unsigned() &&
                        item[1].is_string() && item[2].is_boolean();
    if (!shaped) {
      return std::nullopt;
    }
    engine::SequencedCacheEvent numbered;
    numbered.sequence = item[0].get<std::uint64_t>();
    numbered.event.block = idOf(Json{{"block", item[1]}}, "block");
    numbered.event.kind =
        item[2].get<bool>() ? engine::CacheEventKind::kStored : engine::CacheEventKind::kEvicted;
    report.cacheEvents.push_back(numbered);
  }
  return reader.firstProblem().empty() ? std::optional(std::move(report)) : std::nullopt;
}

std::string toJson(const engine::EngineCommand& order) {
  return Json{{"fence_term", order.fence.term},
              {"fence_sequence", order.fence.sequence},
              {"kind", static_cast<int>(order.kind)},
              {"model", order.model},
              {"adapter", order.adapter},
              {"version", order.version.value},
              {"role", static_cast<int>(order.role)}}
      .dump();
}

base::Result<engine::EngineCommand> parseEngineOrder(const std::string& body) {
  BOOST_LEAF_AUTO(object, parseJson(body));
  JsonReader reader(object);
  engine::EngineCommand order;
  const auto unsigned64 = [&](const char* key) {
    return static_cast<std::uint64_t>(reader.integer(key, 0, 0, kMaximumInteger));
  };
  order.fence = {unsigned64("fence_term"), unsigned64("fence_sequence")};
  constexpr auto kLastKind = static_cast<std::int64_t>(engine::EngineCommandKind::kSetRole);
  order.kind = static_cast<engine::EngineCommandKind>(reader.integer("kind", 0, 0, kLastKind));
  order.model = reader.text("model");
  order.adapter = reader.text("adapter");
  order.version = {unsigned64("version")};
  order.role = static_cast<engine::EngineRole>(reader.integer("role", 0, 0, 2));
  if (!reader.firstProblem().empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, reader.firstProblem());
  }
  return order;
}

std::string toJson(const engine::EngineCommandReply& reply) {
  return Json{{"status", static_cast<int>(reply.status)}, {"state", statusJson(reply.state)}}
      .dump();
}

std::optional<engine::EngineCommandReply> parseOrderReply(const std::string& body) {
  const Json object = Json::parse(body, nullptr, false);
  if (!object.is_object() || !object.contains("state")) {
    return std::nullopt;
  }
  JsonReader reader(object);
  engine::EngineCommandReply reply;
  constexpr auto kLastStatus = static_cast<std::int64_t>(engine::EngineCommandStatus::kFailed);
  reply.status =
      static_cast<engine::EngineCommandStatus>(reader.integer("status", 0, 0, kLastStatus));
  reply.state = readStatus(object["state"]);
  return reply;
}

std::string toJson(const std::vector<control::MachineListEntry>& machines) {
  Json list = Json::array();
  for (const control::MachineListEntry& machine : machines) {
    const control::EngineRecord& record = machine.engine;
    list.push_back({{"engine", record.engine.value},
                    {"incarnation", idText(record.incarnation.value)},
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
  JsonReader outer(object);
  std::vector<control::MachineListEntry> machines;
  for (const Json& item : outer.array("machines")) {
    JsonReader reader(item);
    control::MachineListEntry machine;
    control::EngineRecord& record = machine.engine;
    record.engine = {static_cast<std::uint64_t>(reader.integer("engine", 0, 1, kMaximumInteger))};
    record.incarnation = {idOf(item, "incarnation")};
    record.host = reader.text("host");
    constexpr std::int64_t kLargestPort = std::numeric_limits<std::uint16_t>::max();
    record.port = static_cast<std::uint16_t>(reader.integer("port", 0, 1, kLargestPort));
    record.zone = reader.text("zone");
    record.model = reader.text("model");
    record.draining = reader.text("state") == "leaving";
    if (!reader.firstProblem().empty()) {
      return std::nullopt;
    }
    machines.push_back(std::move(machine));
  }
  return outer.firstProblem().empty() ? std::optional(std::move(machines)) : std::nullopt;
}

}  // namespace tackpick::runtime
