#include "runtime/control_json.h"

#include <limits>

namespace tackpick::runtime {
namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

void parseSetValues(const Json& item, control::NodeChange& change, JsonReader& reader) {
  if (!item.contains("set")) {
    return;
  }
  if (!item["set"].is_object()) {
    reader.addError("set: expected an object");
    return;
  }
  for (const auto& [name, value] : item["set"].items()) {
    const auto key = control::findSettingKey(name);
    const auto typed = parseSettingValue(value);
    if (!key || !typed) {
      reader.addError(change.path + ": " + name + ": " +
                      (key ? "expected true, false, an integer or a string" : "no such setting"));
      return;
    }
    change.set[*key] = *typed;
  }
}

control::NodeChange parseNodeChange(const Json& item, JsonReader& parent) {
  JsonReader reader(item);
  control::NodeChange change;
  change.path = reader.getString("path");
  if (item.is_object() && item.contains("expected_revision")) {
    change.expectedRevision = base::Revision{
        static_cast<std::uint64_t>(reader.getInteger("expected_revision", 0, 0, kMaxInt64))};
  }
  change.remove = reader.getBool("remove", false);
  change.replace = reader.getBool("replace", false);
  if (item.is_object()) {
    parseSetValues(item, change, reader);
    for (const Json& name : item.value("unset", Json::array())) {
      const auto key =
          name.is_string() ? control::findSettingKey(name.get<std::string>()) : std::nullopt;
      if (!key) {
        reader.addError(change.path + ": unset: no such setting");
        break;
      }
      change.unset.push_back(*key);
    }
  }
  parent.addError(reader.firstError());
  return change;
}

}  // namespace

std::string toString(control::ChangeStatus status) {
  switch (status) {
    case control::ChangeStatus::kAccepted:
      return "accepted";
    case control::ChangeStatus::kUnchanged:
      return "unchanged";
    case control::ChangeStatus::kConflict:
      return "conflict";
    case control::ChangeStatus::kInvalid:
      return "invalid";
    case control::ChangeStatus::kRequestIdReused:
      return "request_id_reused";
  }
  return "invalid";
}

std::string toString(control::CredentialRole role) {
  switch (role) {
    case control::CredentialRole::kCaller:
      return "caller";
    case control::CredentialRole::kTrainer:
      return "trainer";
    case control::CredentialRole::kOperator:
      return "operator";
  }
  return "caller";
}

Json valuesJson(const std::map<control::SettingKey, control::SettingValue>& values) {
  Json object = Json::object();
  for (const auto& [key, value] : values) {
    const std::string name(control::settingSpec(key).name);
    std::visit([&](const auto& typed) { object[name] = typed; }, value);
  }
  return object;
}

std::optional<control::SettingValue> parseSettingValue(const Json& value) {
  if (value.is_boolean()) {
    return control::SettingValue{value.get<bool>()};
  }
  if (value.is_number_integer()) {
    return control::SettingValue{value.get<std::int64_t>()};
  }
  if (value.is_string()) {
    return control::SettingValue{value.get<std::string>()};
  }
  return std::nullopt;
}

Json stateJson(const control::ControlDelta& state) {
  Json nodes = Json::array();
  for (const control::SettingsNode& node : state.nodes) {
    nodes.push_back({{"path", node.path},
                     {"revision", node.revision.value},
                     {"values", valuesJson(node.values)}});
  }
  Json engines = Json::array();
  for (const control::EngineRecord& record : state.engines) {
    engines.push_back({{"engine", record.engine.value},
                       {"incarnation", std::to_string(record.incarnation.value)},
                       {"address", record.host + ":" + std::to_string(record.port)},
                       {"zone", record.zone},
                       {"model", record.model},
                       {"drained", record.drained},
                       {"leaving", record.draining}});
  }
  Json weights = Json::array();
  for (const control::WeightsRecord& record : state.weights) {
    weights.push_back({{"model", record.model}, {"version", record.version.value}});
  }
  Json credentials = Json::array();
  for (const control::CredentialRecord& record : state.credentials) {
    credentials.push_back({{"token_hash", record.tokenHash},
                           {"role", toString(record.role)},
                           {"tenant", record.tenant.value}});
  }
  return {{"revision", state.to.value},
          {"nodes", std::move(nodes)},
          {"engines", std::move(engines)},
          {"weights", std::move(weights)},
          {"credentials", std::move(credentials)}};
}

Json outcomeJson(const control::ChangeOutcome& outcome) {
  Json conflicts = Json::array();
  for (const control::NodeConflict& conflict : outcome.conflicts) {
    conflicts.push_back({{"path", conflict.path},
                         {"current_revision", conflict.currentRevision.value},
                         {"current_values", valuesJson(conflict.currentValues)}});
  }
  return {{"status", toString(outcome.status)},
          {"revision", outcome.revision.value},
          {"message", outcome.message},
          {"conflicts", std::move(conflicts)}};
}

Json historyJson(const control::HistoryResult& history) {
  Json entries = Json::array();
  for (const control::HistoryEntry& entry : history.entries) {
    entries.push_back({{"revision", entry.revision.value},
                       {"author", entry.author},
                       {"path", entry.path},
                       {"before", valuesJson(entry.before)},
                       {"after", valuesJson(entry.after)},
                       {"removed", entry.removed}});
  }
  return {{"entries", std::move(entries)}, {"truncated", history.truncated}};
}

base::Result<control::ControlCommand> parseApplyRequest(const std::string& body) {
  BOOST_LEAF_AUTO(object, parseJson(body));
  JsonReader reader(object);
  control::ControlCommand command;
  command.requestId = reader.getString("request_id");
  control::ApplyChange change;
  change.author = reader.getString("author");
  change.dryRun = reader.getBool("dry_run", false);
  for (const Json& item : reader.getArray("changes")) {
    change.changes.push_back(parseNodeChange(item, reader));
  }
  if (!reader.firstError().empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, reader.firstError());
  }
  command.operation = std::move(change);
  return command;
}

}  // namespace tackpick::runtime
