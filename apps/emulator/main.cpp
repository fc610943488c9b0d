/// \file
/// tackpick-emulator: emulates engines, weight store, machine list and scorer on the loopback
/// interface.
#include <asio.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/timer.h"
#include "emulator/emulated_engine.h"
#include "emulator/emulated_platform.h"
#include "http/client.h"
#include "runtime/engine_json.h"

namespace {

using tackpick::base::SeededRandom;
namespace base = tackpick::base;
namespace emulator = tackpick::emulator;
namespace engine = tackpick::engine;
namespace http = tackpick::http;
namespace runtime = tackpick::runtime;

struct Options {
  std::uint32_t engines = 0;
  std::uint32_t firstEngine = 1;
  std::vector<std::string> zones;
  std::string platformUrl;
  bool servePlatform = false;
  std::uint16_t platformPort = 0;
  std::uint16_t adminPort = 0;
  std::string portFile;
  std::vector<std::uint16_t> enginePorts;  ///< empty: chosen by the operating system
  /// Ports to announce instead of the engines' ports, for example the ports of a proxy.
  std::vector<std::uint16_t> announcePorts;
  std::uint64_t seed = 1;
  std::uint64_t storeBytesPerSecond = 0;
  engine::EngineSimulatorSettings model;
};

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::vector<std::uint16_t> parsePorts(const std::string& text) {
  std::vector<std::uint16_t> ports;
  for (const std::string& part : split(text)) {
    ports.push_back(static_cast<std::uint16_t>(std::stoul(part)));
  }
  return ports;
}

Options parseOptions(int argc, char** argv) {
  cxxopts::Options parser("tackpick-emulator", "Emulates engines and platform services");
  const engine::EngineSimulatorSettings defaults;
  parser.add_options()("engines", "number of engines",
                       cxxopts::value<std::uint32_t>()->default_value("0"))(
      "first-engine", "number of the first engine",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "zones", "zones, assigned to the engines round-robin",
      cxxopts::value<std::string>()->default_value("zone-a"))(
      "platform", "URL of the platform to announce engines to",
      cxxopts::value<std::string>()->default_value(""))("serve-platform",
                                                        "serve machine list and scorer")(
      "platform-port", "port of the platform; 0: chosen by the system",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "admin-port", "port of the admin interface; 0: chosen by the system",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "port-file", "file for the chosen ports as JSON",
      cxxopts::value<std::string>()->default_value(""))(
      "engine-ports", "ports of the engines, one each; default: chosen by the system",
      cxxopts::value<std::string>()->default_value(""))(
      "announce-ports", "ports to announce for the engines, such as those of a proxy",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "slots", "number of sequences decoded in parallel",
      cxxopts::value<std::uint32_t>()->default_value(std::to_string(defaults.slots)))(
      "waiting-limit", "maximum number of queued requests per engine",
      cxxopts::value<std::uint32_t>()->default_value(std::to_string(defaults.maxQueuedRequests)))(
      "step-us", "base duration of a decode step in microseconds",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(defaults.stepBaseDuration.count())))(
      "step-per-sequence-us", "additional step duration per sequence in microseconds",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(defaults.stepDurationPerSequence.count())))(
      "prefill-us", "additional step duration per uncached prompt token in microseconds",
      cxxopts::value<std::int64_t>()->default_value(
          std::to_string(defaults.prefillDurationPerToken.count())))(
      "tokens-per-chunk", "tokens per chunk",
      cxxopts::value<std::uint32_t>()->default_value(std::to_string(defaults.tokensPerChunk)))(
      "swap-failure", "fraction of weight swaps that fail",
      cxxopts::value<double>()->default_value("0"))(
      "store-rate", "bandwidth of the weight store in bytes per second",
      cxxopts::value<std::uint64_t>()->default_value("20000000000"))(
      "no-run-records", "do not keep a record of each executed attempt")("help", "show this text");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  Options options;
  options.engines = parsed["engines"].as<std::uint32_t>();
  options.firstEngine = parsed["first-engine"].as<std::uint32_t>();
  options.zones = split(parsed["zones"].as<std::string>());
  options.platformUrl = parsed["platform"].as<std::string>();
  options.servePlatform = parsed.count("serve-platform") > 0;
  options.platformPort = parsed["platform-port"].as<std::uint16_t>();
  options.adminPort = parsed["admin-port"].as<std::uint16_t>();
  options.portFile = parsed["port-file"].as<std::string>();
  options.enginePorts = parsePorts(parsed["engine-ports"].as<std::string>());
  options.announcePorts = parsePorts(parsed["announce-ports"].as<std::string>());
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.storeBytesPerSecond = parsed["store-rate"].as<std::uint64_t>();
  options.model.slots = parsed["slots"].as<std::uint32_t>();
  options.model.maxQueuedRequests = parsed["waiting-limit"].as<std::uint32_t>();
  options.model.stepBaseDuration = base::Duration(parsed["step-us"].as<std::int64_t>());
  options.model.stepDurationPerSequence =
      base::Duration(parsed["step-per-sequence-us"].as<std::int64_t>());
  options.model.prefillDurationPerToken = base::Duration(parsed["prefill-us"].as<std::int64_t>());
  options.model.tokensPerChunk = parsed["tokens-per-chunk"].as<std::uint32_t>();
  options.model.swapFailureRate = parsed["swap-failure"].as<double>();
  return options;
}

/// Engines, platform services and admin interface of the process.
class EmulatorProcess {
 public:
  explicit EmulatorProcess(const Options& options)
      : options_(options),
        random_(options.seed),
        store_(options.storeBytesPerSecond),
        client_(context_),
        announce_timer_(context_),
        signals_(context_, SIGINT, SIGTERM),
        admin_(context_, adminSettings(options),
               [this](const http::Request& request,
                      const std::shared_ptr<http::Responder>& responder) {
                 handleAdmin(request, responder);
               }) {
    if (options.servePlatform) {
      emulator::EmulatedPlatformSettings settings;
      settings.port = options.platformPort;
      platform_ = std::make_unique<emulator::EmulatedPlatform>(context_, settings);
      platform_url_ = "http://127.0.0.1:" + std::to_string(platform_->port());
    } else {
      platform_url_ = options.platformUrl;
    }
    startEngines();
    writePortFile();
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        context_.stop();
      }
    });
    announce();
  }

  void run() { context_.run(); }

 private:
  static http::ServerSettings adminSettings(const Options& options) {
    http::ServerSettings settings;
    settings.port = options.adminPort;
    return settings;
  }

  void startEngines() {
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    for (std::uint32_t i = 0; i < options_.engines; ++i) {
      emulator::EmulatedEngineSettings settings;
      settings.id = {options_.firstEngine + i};
      settings.incarnation = {incarnation};
      settings.zone = options_.zones.at(i % options_.zones.size());
      settings.model = options_.model;
      settings.port = i < options_.enginePorts.size() ? options_.enginePorts[i] : 0;
      engines_.push_back(
          std::make_unique<emulator::EmulatedEngine>(context_, settings, store_, random_));
    }
  }

  void writePortFile() const {
    if (options_.portFile.empty()) {
      return;
    }
    runtime::Json ports{{"admin", admin_.port()},
                        {"platform", platform_ ? platform_->port() : 0},
                        {"engines", runtime::Json::array()}};
    for (const auto& engine : engines_) {
      ports["engines"].push_back(engine->port());
    }
    const std::string temporary = options_.portFile + ".tmp";
    {
      std::ofstream stream(temporary);
      stream << ports.dump();
    }
    std::rename(temporary.c_str(), options_.portFile.c_str());
  }

  void announce() {
    std::vector<tackpick::control::MachineListEntry> machines;
    for (const auto& engine : engines_) {
      tackpick::control::MachineListEntry machine;
      machine.engine.engine = engine->settings().id;
      machine.engine.incarnation = engine->settings().incarnation;
      machine.engine.host = engine->settings().host;
      const std::size_t position = machines.size();
      const bool hasAnnouncedPort = position < options_.announcePorts.size();
      machine.engine.port = hasAnnouncedPort ? options_.announcePorts[position] : engine->port();
      machine.engine.zone = engine->settings().zone;
      machine.engine.model = engine->settings().model.model;
      machine.engine.draining = engine->model().status().draining;
      machines.push_back(machine);
    }
    if (!machines.empty() && !platform_url_.empty()) {
      http::ClientRequest request;
      request.method = "POST";
      request.url = platform_url_ + "/machines";
      request.body = runtime::toJson(machines);
      request.timeout = base::seconds(1);
      client_.start(request, nullptr, [](const http::ClientResult&) {});
    }
    constexpr auto kAnnounceInterval = std::chrono::milliseconds(300);
    announce_timer_.expires_after(kAnnounceInterval);
    announce_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        announce();
      }
    });
  }

  /// Serves POST /leave?engine=N, POST /fail-next-swap?engine=N (N may be `all`) and GET /record.
  void handleAdmin(const http::Request& request,
                   const std::shared_ptr<http::Responder>& responder) {
    constexpr int kOk = 200;
    const std::string selectedEngine = request.queryValue("engine");
    runtime::Json record{{"not_repeatable_run_twice", 0}, {"runs", 0}};
    std::uint64_t duplicates = 0;
    std::uint64_t executions = 0;
    for (const auto& engine : engines_) {
      duplicates += engine->notRepeatableDuplicates();
      executions += engine->model().executions().size();
      if (std::to_string(engine->settings().id.value) != selectedEngine &&
          selectedEngine != "all") {
        continue;
      }
      if (request.path == "/leave") {
        engine->model().startDraining();
      } else if (request.path == "/fail-next-swap") {
        engine->model().failNextSwap();
      }
    }
    record["not_repeatable_run_twice"] = duplicates;
    record["runs"] = executions;
    if (request.path == "/record") {
      addNotRepeatableExecutions(record);
    }
    responder->respond(kOk, {{"Content-Type", "application/json"}}, record.dump());
  }

  /// Adds the executions of not-repeatable requests, so that duplicates on different engines can be
  /// found.
  void addNotRepeatableExecutions(runtime::Json& record) const {
    record["not_repeatable_runs"] = runtime::Json::array();
    for (const auto& engine : engines_) {
      for (const auto& [attempt, execution] : engine->model().executions()) {
        if (execution.notRepeatable) {
          record["not_repeatable_runs"].push_back(execution.prompt + "#" +
                                                  std::to_string(execution.seed));
        }
      }
    }
  }

  const Options options_;
  asio::io_context context_;
  SeededRandom random_;
  engine::WeightStore store_;
  http::Client client_;
  base::Timer announce_timer_;
  asio::signal_set signals_;
  std::unique_ptr<emulator::EmulatedPlatform> platform_;
  std::string platform_url_;
  std::vector<std::unique_ptr<emulator::EmulatedEngine>> engines_;
  http::Server admin_;
};

}  // namespace

int main(int argc, char** argv) {
  try {
    EmulatorProcess process(parseOptions(argc, argv));
    process.run();
  } catch (const std::exception& error) {
    std::cerr << "tackpick-emulator: " << error.what() << "\n";
    constexpr int kUsageError = 2;
    return kUsageError;
  }
  return 0;
}
