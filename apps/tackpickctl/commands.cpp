#include "commands.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

#include "config/declarations.h"
#include "control/settings_tree.h"
#include "runtime/control_json.h"
#include "transport/shared_key.h"

namespace tackpick::ctl {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr int kConflict = 409;

/// Returns the state of the control plane. Prints an error and returns std::nullopt if no leader
/// answered.
std::optional<Json> fetchState(const Invocation& invocation) {
  const ControlResponse response =
      callControllers(invocation.address, "GET", "/v1/control/state", "");
  if (response.status != kOk) {
    std::cerr << "no leading controller answered\n";
    return std::nullopt;
  }
  return response.body;
}

std::string newRequestId() {
  constexpr std::size_t kRequestIdBytes = 16;
  return transport::sha256Hex(transport::randomBytes(kRequestIdBytes))
      .substr(0, kRequestIdBytes * 2);
}

std::string author() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "operator" : user;
}

int printResponse(const Invocation& invocation, const ControlResponse& response) {
  if (response.status == 0) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << response.body.dump(2) << "\n";
  } else if (response.body.contains("error")) {
    std::cerr << response.body["error"].value("message", "refused") << "\n";
  } else {
    std::cout << response.body.value("status", "ok");
    if (response.body.contains("revision")) {
      std::cout << " revision=" << response.body["revision"];
    }
    const std::string message = response.body.value("message", "");
    std::cout << (message.empty() ? "" : " ") << message << "\n";
    for (const Json& conflict : response.body.value("conflicts", Json::array())) {
      std::cout << "conflict " << conflict["path"] << " is at revision "
                << conflict["current_revision"] << " with " << conflict["current_values"] << "\n";
    }
  }
  if (response.status == kConflict) {
    return kConflictExit;
  }
  return response.status == kOk ? kSuccess : kRejected;
}

int post(const Invocation& invocation, const std::string& path, const Json& body) {
  return printResponse(invocation, callControllers(invocation.address, "POST", path, body.dump()));
}

using Nodes = std::map<std::string, Json>;

Nodes nodesByPath(const Json& state) {
  Nodes nodes;
  for (const Json& node : state["nodes"]) {
    nodes[node["path"].get<std::string>()] = node;
  }
  return nodes;
}

/// Returns the changes that turn the current settings into the declared ones.
Json diffSettings(const std::vector<config::DeclaredNode>& declared, const Nodes& current,
                  bool prune) {
  Json changes = Json::array();
  std::map<std::string, bool> declaredPaths;
  for (const config::DeclaredNode& node : declared) {
    declaredPaths[node.path] = true;
    const Json values = runtime::valuesJson(node.values);
    const auto known = current.find(node.path);
    const bool same = known != current.end() && known->second["values"] == values;
    if (!same) {
      const std::uint64_t revision =
          known == current.end() ? 0 : known->second["revision"].get<std::uint64_t>();
      changes.push_back({{"path", node.path},
                         {"expected_revision", revision},
                         {"replace", true},
                         {"set", values}});
    }
  }
  // Children sort after their parents, so nodes are removed in reverse order.
  for (auto it = current.rbegin(); prune && it != current.rend(); ++it) {
    if (!declaredPaths.contains(it->first) && !it->first.empty()) {
      changes.push_back(
          {{"path", it->first}, {"expected_revision", it->second["revision"]}, {"remove", true}});
    }
  }
  return changes;
}

void printChanges(const Json& changes, const Nodes& current) {
  for (const Json& change : changes) {
    const std::string path = change["path"].get<std::string>();
    const auto known = current.find(path);
    const std::string name = path.empty() ? "(root)" : path;
    if (change.value("remove", false)) {
      std::cout << "- " << name << " " << known->second["values"] << "\n";
      continue;
    }
    if (known != current.end()) {
      std::cout << "- " << name << " " << known->second["values"] << "\n";
    }
    std::cout << "+ " << name << " " << change["set"] << "\n";
  }
}

/// Returns the changes that turn the current settings into the declared ones (option -f). Returns
/// std::nullopt and sets `exitCode` on failure.
std::optional<Json> plannedChanges(const Invocation& invocation, Nodes& current, int& exitCode) {
  exitCode = kUsageError;
  bool valid = true;
  const auto declared = base::recover([&] { return config::loadDeclarations(invocation.folder); },
                                      [&](const base::Error& error) {
                                        std::cerr << error.message << "\n";
                                        valid = false;
                                        return std::vector<config::DeclaredNode>{};
                                      });
  if (!valid) {
    return std::nullopt;
  }
  const auto state = fetchState(invocation);
  if (!state) {
    exitCode = kUnreachable;
    return std::nullopt;
  }
  current = nodesByPath(*state);
  return diffSettings(declared, current, invocation.prune);
}

control::SettingsTree parseSettingsTree(const Json& state) {
  control::SettingsTree tree;
  for (const Json& item : state["nodes"]) {
    control::SettingsNode node;
    node.path = item["path"].get<std::string>();
    node.revision = {item["revision"].get<std::uint64_t>()};
    for (const auto& [name, value] : item["values"].items()) {
      const auto key = control::findSettingKey(name);
      const auto typed = runtime::parseSettingValue(value);
      if (key && typed) {
        node.values[*key] = *typed;
      }
    }
    tree.put(std::move(node));
  }
  return tree;
}

}  // namespace

int apply(const Invocation& invocation) {
  Nodes current;
  int exitCode = kSuccess;
  const auto changes = plannedChanges(invocation, current, exitCode);
  if (!changes) {
    return exitCode;
  }
  if (!invocation.json) {
    printChanges(*changes, current);
  }
  if (changes->empty()) {
    std::cout << "nothing to change\n";
    return kSuccess;
  }
  const std::string id = invocation.requestId.empty() ? newRequestId() : invocation.requestId;
  return post(invocation, "/v1/control/apply",
              {{"request_id", invocation.dryRun ? "" : id},
               {"author", author()},
               {"dry_run", invocation.dryRun},
               {"changes", *changes}});
}

int diff(const Invocation& invocation) {
  Nodes current;
  int exitCode = kSuccess;
  const auto changes = plannedChanges(invocation, current, exitCode);
  if (!changes) {
    return exitCode;
  }
  printChanges(*changes, current);
  return changes->empty() ? kSuccess : kDiffers;
}

int get(const Invocation& invocation) {
  const auto state = fetchState(invocation);
  if (!state) {
    return kUnreachable;
  }
  const bool all = invocation.arguments.empty();
  if (invocation.json && all) {
    std::cout << (*state)["nodes"].dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& node : (*state)["nodes"]) {
    const std::string path = node["path"].get<std::string>();
    if (all || path == invocation.arguments.front()) {
      std::cout << (path.empty() ? "(root)" : path) << " revision=" << node["revision"] << " "
                << node["values"] << "\n";
    }
  }
  return kSuccess;
}

int set(const Invocation& invocation) {
  if (invocation.arguments.size() < 2) {
    std::cerr << "usage: tackpickctl set PATH KEY=VALUE...\n";
    return kUsageError;
  }
  Json values = Json::object();
  for (std::size_t i = 1; i < invocation.arguments.size(); ++i) {
    const std::string& argument = invocation.arguments[i];
    const std::size_t equals = argument.find('=');
    const auto key = control::findSettingKey(argument.substr(0, equals));
    if (!key || equals == std::string::npos) {
      std::cerr << argument << ": expected KEY=VALUE with a known key\n";
      return kUsageError;
    }
    std::string problem;
    const auto value =
        base::recover([&] { return config::parseSetting(*key, argument.substr(equals + 1)); },
                      [&](const base::Error& error) {
                        problem = error.message;
                        return control::SettingValue{};
                      });
    if (!problem.empty()) {
      std::cerr << problem << "\n";
      return kUsageError;
    }
    values.update(runtime::valuesJson({{*key, value}}));
  }
  const std::string path = invocation.arguments[0] == "/" ? "" : invocation.arguments[0];
  Json change{{"path", path}, {"set", values}};
  if (!invocation.expectedRevision.empty()) {
    change["expected_revision"] = std::stoull(invocation.expectedRevision);
  }
  const std::string id = invocation.requestId.empty() ? newRequestId() : invocation.requestId;
  return post(invocation, "/v1/control/apply",
              {{"request_id", id},
               {"author", author()},
               {"dry_run", invocation.dryRun},
               {"changes", Json::array({change})}});
}

int explain(const Invocation& invocation) {
  if (invocation.arguments.empty()) {
    std::cerr << "usage: tackpickctl explain WORKLOAD [KEY]\n";
    return kUsageError;
  }
  const auto state = fetchState(invocation);
  if (!state) {
    return kUnreachable;
  }
  const control::SettingsTree tree = parseSettingsTree(*state);
  const std::string& path = invocation.arguments[0];
  if (tree.find(path) == nullptr) {
    std::cerr << "unknown node " << path << "\n";
    return kRejected;
  }
  for (const control::SettingSpec& specification : control::settingSpecs()) {
    if (invocation.arguments.size() > 1 && invocation.arguments[1] != specification.name) {
      continue;
    }
    const control::EffectiveSetting effective = tree.effective(path, specification.key);
    std::cout << std::left << std::setw(22) << specification.name << std::setw(14)
              << control::toString(effective.value);
    if (effective.isDefault) {
      std::cout << "built-in default\n";
    } else {
      std::cout << "set on " << (effective.source.empty() ? "(root)" : effective.source)
                << " at revision " << effective.revision.value << "\n";
    }
  }
  return kSuccess;
}

int history(const Invocation& invocation) {
  const std::string after = invocation.arguments.empty() ? "0" : invocation.arguments[0];
  const ControlResponse response =
      callControllers(invocation.address, "GET", "/v1/control/history?after=" + after, "");
  if (response.status != kOk) {
    return printResponse(invocation, response);
  }
  if (invocation.json) {
    std::cout << response.body.dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& entry : response.body["entries"]) {
    std::cout << "revision " << entry["revision"] << " by " << entry["author"].get<std::string>()
              << " " << entry["path"] << ": " << entry["before"] << " -> "
              << (entry["removed"].get<bool>() ? Json("removed") : entry["after"]) << "\n";
  }
  return kSuccess;
}

int watch(const Invocation& invocation) {
  constexpr auto kInterval = std::chrono::seconds(1);
  std::uint64_t seen = 0;
  while (true) {
    const auto state = fetchState(invocation);
    if (!state) {
      return kUnreachable;
    }
    const auto revision = (*state)["revision"].get<std::uint64_t>();
    if (revision != seen) {
      std::cout << "revision " << revision << ", " << (*state)["nodes"].size() << " nodes, "
                << (*state)["engines"].size() << " engines, weights " << (*state)["weights"]
                << std::endl;
      seen = revision;
    }
    std::this_thread::sleep_for(kInterval);
  }
}

int engines(const Invocation& invocation) {
  const auto state = fetchState(invocation);
  if (!state) {
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << (*state)["engines"].dump(2) << "\n";
    return kSuccess;
  }
  std::cout << std::left << std::setw(8) << "ENGINE" << std::setw(24) << "ADDRESS" << std::setw(14)
            << "ZONE" << std::setw(12) << "MODEL"
            << "STATE\n";
  for (const Json& engine : (*state)["engines"]) {
    std::string condition = engine["leaving"].get<bool>() ? "leaving" : "live";
    condition += engine["drained"].get<bool>() ? " drained" : "";
    std::cout << std::left << std::setw(8) << engine["engine"].get<std::uint64_t>() << std::setw(24)
              << engine["address"].get<std::string>() << std::setw(14)
              << engine["zone"].get<std::string>() << std::setw(12)
              << engine["model"].get<std::string>() << condition << "\n";
  }
  return kSuccess;
}

int drain(const Invocation& invocation) {
  if (invocation.arguments.size() != 1) {
    std::cerr << "usage: tackpickctl drain ENGINE [--undo]\n";
    return kUsageError;
  }
  return post(invocation, "/v1/control/drain",
              {{"engine", std::strtoull(invocation.arguments[0].c_str(), nullptr, 10)},
               {"drained", !invocation.undo},
               {"request_id", newRequestId()}});
}

int tenants(const Invocation& invocation) {
  const auto state = fetchState(invocation);
  if (!state) {
    return kUnreachable;
  }
  const control::SettingsTree tree = parseSettingsTree(*state);
  for (const auto& [path, node] : tree.nodes()) {
    if (path.empty()) {
      continue;
    }
    const bool workload = control::parentPath(path) != std::string();
    std::cout << (workload ? "  " : "") << path;
    if (workload) {
      std::cout << " priority=" << tree.integer(path, control::SettingKey::kPriority)
                << " model=" << tree.text(path, control::SettingKey::kModel);
    }
    std::cout << "\n";
  }
  return kSuccess;
}

int members(const Invocation& invocation) {
  const bool wellFormed = invocation.arguments.size() == 2 &&
                          (invocation.arguments[0] == "add" || invocation.arguments[0] == "remove");
  if (!wellFormed) {
    std::cerr << "usage: tackpickctl members add|remove NODE-IDENTITY\n";
    return kUsageError;
  }
  return post(invocation, "/v1/control/members",
              {{"node", invocation.arguments[1]}, {"remove", invocation.arguments[0] == "remove"}});
}

int token(const Invocation& invocation) {
  const bool wellFormed = invocation.arguments.size() == 2 &&
                          (invocation.arguments[0] == "add" || invocation.arguments[0] == "remove");
  if (!wellFormed) {
    std::cerr << "usage: tackpickctl token add|remove TOKEN --role ROLE --tenant TENANT\n";
    return kUsageError;
  }
  return post(invocation, "/v1/control/credentials",
              {{"token_hash", transport::sha256Hex(invocation.arguments[1])},
               {"role", invocation.role},
               {"tenant", invocation.tenant},
               {"removed", invocation.arguments[0] == "remove"},
               {"request_id", newRequestId()}});
}

int status(const Invocation& invocation) {
  int exitCode = kUnreachable;
  for (const std::string& url : invocation.address.urls) {
    const ControlResponse response =
        callController(url, invocation.address.token, "GET", "/v1/control/status", "");
    if (response.status != kOk) {
      std::cout << url << " does not answer\n";
      continue;
    }
    exitCode = kSuccess;
    if (invocation.json) {
      std::cout << response.body.dump(2) << "\n";
      continue;
    }
    const Json& control = response.body["control"];
    std::cout << url << " node=" << response.body["node"].get<std::string>()
              << " state=" << control["state"].get<std::string>() << " term=" << control["term"]
              << " commit=" << control["commit_index"] << " applied=" << control["applied_index"]
              << " revision=" << response.body["revision"] << " voters=" << control["voters"].size()
              << " learners=" << control["learners"].size()
              << " gateways=" << response.body["gateways"].size() << "\n";
    for (const Json& model : response.body["weights"]) {
      std::cout << "  weights " << model["model"].get<std::string>() << " version "
                << model["version"] << " on " << model["engines_active"] << " of "
                << model["engines"] << " engines\n";
    }
  }
  return exitCode;
}

}  // namespace tackpick::ctl
