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

/// Reads the whole state; nothing, with a message, when no controller answered.
std::optional<Json> readState(const Invocation& invocation) {
  const ControlAnswer answer = callControllers(invocation.address, "GET", "/v1/control/state", "");
  if (answer.status != kOk) {
    std::cerr << "no leading controller answered\n";
    return std::nullopt;
  }
  return answer.body;
}

std::string newRequestId() {
  constexpr std::size_t kBytes = 16;
  return transport::sha256Hex(transport::randomBytes(kBytes)).substr(0, kBytes * 2);
}

std::string author() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "operator" : user;
}

int printAnswer(const Invocation& invocation, const ControlAnswer& answer) {
  if (answer.status == 0) {
    std::cerr << "no leading controller answered\n";
    return kUnreachable;
  }
  if (invocation.json) {
    std::cout << answer.body.dump(2) << "\n";
  } else if (answer.body.contains("error")) {
    std::cerr << answer.body["error"].value("message", "refused") << "\n";
  } else {
    std::cout << answer.body.value("status", "ok");
    if (answer.body.contains("revision")) {
      std::cout << " revision=" << answer.body["revision"];
    }
    const std::string message = answer.body.value("message", "");
    std::cout << (message.empty() ? "" : " ") << message << "\n";
    for (const Json& conflict : answer.body.value("conflicts", Json::array())) {
      std::cout << "conflict " << conflict["path"] << " is at revision "
                << conflict["current_revision"] << " with " << conflict["current_values"] << "\n";
    }
  }
  if (answer.status == kConflict) {
    return kConflictExit;
  }
  return answer.status == kOk ? kSuccess : kRefused;
}

int post(const Invocation& invocation, const std::string& path, const Json& body) {
  return printAnswer(invocation, callControllers(invocation.address, "POST", path, body.dump()));
}

using Nodes = std::map<std::string, Json>;

Nodes nodesByPath(const Json& state) {
  Nodes nodes;
  for (const Json& node : state["nodes"]) {
    nodes[node["path"].get<std::string>()] = node;
  }
  return nodes;
}

/// The changes that bring the state to the declarations.
Json changesFor(const std::vector<config::DeclaredNode>& declared, const Nodes& current,
                bool prune) {
  Json changes = Json::array();
  std::map<std::string, bool> wanted;
  for (const config::DeclaredNode& node : declared) {
    wanted[node.path] = true;
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
  // Children sort after their parents: remove from the end.
  for (auto it = current.rbegin(); prune && it != current.rend(); ++it) {
    if (!wanted.contains(it->first) && !it->first.empty()) {
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

/// The changes between the declarations of -f and the current state; nothing on failure, with the
/// exit code in `exitCode`.
std::optional<Json> plannedChanges(const Invocation& invocation, Nodes& current, int& exitCode) {
  exitCode = kUsage;
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
  const auto state = readState(invocation);
  if (!state) {
    exitCode = kUnreachable;
    return std::nullopt;
  }
  current = nodesByPath(*state);
  return changesFor(declared, current, invocation.prune);
}

control::SettingsTree treeOf(const Json& state) {
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
  const auto state = readState(invocation);
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
    return kUsage;
  }
  Json values = Json::object();
  for (std::size_t i = 1; i < invocation.arguments.size(); ++i) {
    const std::string& argument = invocation.arguments[i];
    const std::size_t equals = argument.find('=');
    const auto key = control::findSettingKey(argument.substr(0, equals));
    if (!key || equals == std::string::npos) {
      std::cerr << argument << ": expected KEY=VALUE with a known key\n";
      return kUsage;
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
      return kUsage;
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
    return kUsage;
  }
  const auto state = readState(invocation);
  if (!state) {
    return kUnreachable;
  }
  const control::SettingsTree tree = treeOf(*state);
  const std::string& path = invocation.arguments[0];
  if (tree.find(path) == nullptr) {
    std::cerr << "no node " << path << "\n";
    return kRefused;
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
  const ControlAnswer answer =
      callControllers(invocation.address, "GET", "/v1/control/history?after=" + after, "");
  if (answer.status != kOk) {
    return printAnswer(invocation, answer);
  }
  if (invocation.json) {
    std::cout << answer.body.dump(2) << "\n";
    return kSuccess;
  }
  for (const Json& entry : answer.body["entries"]) {
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
    const auto state = readState(invocation);
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
  const auto state = readState(invocation);
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
    return kUsage;
  }
  return post(invocation, "/v1/control/drain",
              {{"engine", std::strtoull(invocation.arguments[0].c_str(), nullptr, 10)},
               {"drained", !invocation.undo},
               {"request_id", newRequestId()}});
}

int tenants(const Invocation& invocation) {
  const auto state = readState(invocation);
  if (!state) {
    return kUnreachable;
  }
  const control::SettingsTree tree = treeOf(*state);
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
    return kUsage;
  }
  return post(invocation, "/v1/control/members",
              {{"node", invocation.arguments[1]}, {"remove", invocation.arguments[0] == "remove"}});
}

int token(const Invocation& invocation) {
  const bool wellFormed = invocation.arguments.size() == 2 &&
                          (invocation.arguments[0] == "add" || invocation.arguments[0] == "remove");
  if (!wellFormed) {
    std::cerr << "usage: tackpickctl token add|remove TOKEN --role ROLE --tenant TENANT\n";
    return kUsage;
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
    const ControlAnswer answer =
        callOne(url, invocation.address.token, "GET", "/v1/control/status", "");
    if (answer.status != kOk) {
      std::cout << url << " does not answer\n";
      continue;
    }
    exitCode = kSuccess;
    if (invocation.json) {
      std::cout << answer.body.dump(2) << "\n";
      continue;
    }
    const Json& control = answer.body["control"];
    std::cout << url << " node=" << answer.body["node"].get<std::string>()
              << " state=" << control["state"].get<std::string>() << " term=" << control["term"]
              << " commit=" << control["commit_index"] << " applied=" << control["applied_index"]
              << " revision=" << answer.body["revision"] << " voters=" << control["voters"].size()
              << " learners=" << control["learners"].size()
              << " gateways=" << answer.body["gateways"].size() << "\n";
    for (const Json& model : answer.body["weights"]) {
      std::cout << "  weights " << model["model"].get<std::string>() << " version "
                << model["version"] << " on " << model["engines_active"] << " of "
                << model["engines"] << " engines\n";
    }
  }
  return exitCode;
}

}  // namespace tackpick::ctl
