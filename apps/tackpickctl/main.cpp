/// \file
/// tackpickctl: command-line tool for operators. Exit codes are listed in docs/OPERATIONS.md.
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "commands.h"

namespace {

namespace ctl = tackpick::ctl;

using Command = std::function<int(const ctl::Invocation&)>;

const std::map<std::string, Command>& commands() {
  static const std::map<std::string, Command> kCommands = {
      {"apply", ctl::apply},     {"diff", ctl::diff},
      {"get", ctl::get},         {"set", ctl::set},
      {"explain", ctl::explain}, {"history", ctl::history},
      {"watch", ctl::watch},     {"engines", ctl::engines},
      {"drain", ctl::drain},     {"tenants", ctl::tenants},
      {"members", ctl::members}, {"token", ctl::token},
      {"status", ctl::status},   {"quarantine", ctl::quarantine},
      {"release", ctl::release}, {"capacity", ctl::capacity},
      {"work", ctl::work},
  };
  return kCommands;
}

std::string environmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string readToken(const std::string& file) {
  if (file.empty()) {
    return environmentVariable("TACKPICK_TOKEN");
  }
  std::ifstream stream(file);
  std::string token;
  std::getline(stream, token);
  return token;
}

int run(int argc, char** argv) {
  cxxopts::Options parser("tackpickctl", "Operates a tackpick cluster");
  parser.custom_help("COMMAND [ARGUMENTS] [OPTIONS]");
  parser.positional_help("");
  parser.add_options()("command", "command", cxxopts::value<std::string>()->default_value(""))(
      "arguments", "arguments", cxxopts::value<std::vector<std::string>>())(
      "controllers", "URLs of the controllers, separated by commas (TACKPICK_CONTROLLERS)",
      cxxopts::value<std::string>()->default_value(environmentVariable("TACKPICK_CONTROLLERS")))(
      "token-file", "file with the operator's token (default: the token in TACKPICK_TOKEN)",
      cxxopts::value<std::string>()->default_value(""))(
      "f,folder", "folder or file with declarations",
      cxxopts::value<std::string>()->default_value(""))(
      "request-id", "request id, to resend a change",
      cxxopts::value<std::string>()->default_value(""))(
      "expect", "set: reject the change unless the node is at this revision",
      cxxopts::value<std::string>()->default_value(""))(
      "tenant", "token: tenant", cxxopts::value<std::string>()->default_value(""))(
      "role", "token: caller, trainer or operator",
      cxxopts::value<std::string>()->default_value("caller"))("dry-run", "change nothing")(
      "undo", "drain: end the drain")("prune", "apply, diff: remove nodes that are not declared")(
      "o,output", "table or json", cxxopts::value<std::string>()->default_value("table"))(
      "json", "same as --output json")("help", "show this text");
  parser.parse_positional({"command", "arguments"});
  const auto parsed = parser.parse(argc, argv);
  const auto name = parsed["command"].as<std::string>();
  const auto command = commands().find(name);
  if (parsed.count("help") > 0 || command == commands().end()) {
    std::cerr << parser.help() << "\nCommands:";
    for (const auto& [known, function] : commands()) {
      std::cerr << " " << known;
    }
    std::cerr << "\n";
    return parsed.count("help") > 0 ? ctl::kSuccess : ctl::kUsageError;
  }
  ctl::Invocation invocation;
  invocation.address.urls = split(parsed["controllers"].as<std::string>());
  invocation.address.token = readToken(parsed["token-file"].as<std::string>());
  if (parsed.count("arguments") > 0) {
    invocation.arguments = parsed["arguments"].as<std::vector<std::string>>();
  }
  invocation.folder = parsed["folder"].as<std::string>();
  invocation.requestId = parsed["request-id"].as<std::string>();
  invocation.expectedRevision = parsed["expect"].as<std::string>();
  invocation.tenant = parsed["tenant"].as<std::string>();
  invocation.role = parsed["role"].as<std::string>();
  invocation.dryRun = parsed.count("dry-run") > 0;
  invocation.undo = parsed.count("undo") > 0;
  invocation.prune = parsed.count("prune") > 0;
  invocation.json = parsed.count("json") > 0 || parsed["output"].as<std::string>() == "json";
  if (invocation.address.urls.empty()) {
    std::cerr << "no controllers: set --controllers or TACKPICK_CONTROLLERS\n";
    return ctl::kUsageError;
  }
  return command->second(invocation);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "tackpickctl: " << error.what() << "\n";
    return ctl::kUsageError;
  }
}
