/// \file
/// tackpickd: the daemon. Exit codes: 0 after a graceful shutdown, 1 after a failure at run time, 2
/// if the flags, settings or data folder were rejected.
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "config/cluster_settings.h"
#include "config/process_settings.h"
#include "node/run_until_stopped.h"
#include "platform_adapter.h"
#include "runtime/daemon.h"
#include "telemetry/log.h"
#include "telemetry/metric.h"

namespace {

namespace base = tackpick::base;
namespace config = tackpick::config;
namespace runtime = tackpick::runtime;
namespace telemetry = tackpick::telemetry;

constexpr int kStartupRejected = 2;

struct Options {
  std::string settingsFile;
  bool checkOnly = false;
  runtime::DirectoryMode mode = runtime::DirectoryMode::kMustExist;
  std::string internal;
  std::string http;
  std::string zone;
  std::string dataDirectory;
};

/// Returns the default path of the settings file.
std::string settingsFromEnvironment() {
  const char* path = std::getenv("TACKPICK_CONFIG");
  return path == nullptr ? "" : path;
}

Options parseOptions(int argc, char** argv) {
  cxxopts::Options parser("tackpickd", "Rollout service daemon");
  parser.add_options()("settings", "settings file",
                       cxxopts::value<std::string>()->default_value(settingsFromEnvironment()))(
      "check", "check the settings and exit")("init",
                                              "initialise empty data folders for a new cluster")(
      "join", "initialise empty data folders as a new node of an existing cluster")(
      "internal", "overrides the setting internal",
      cxxopts::value<std::string>()->default_value(""))(
      "http", "overrides the setting http", cxxopts::value<std::string>()->default_value(""))(
      "zone", "overrides the setting zone", cxxopts::value<std::string>()->default_value(""))(
      "data-folder", "overrides the setting data_folder",
      cxxopts::value<std::string>()->default_value(""))("events",
                                                        "print the event catalogue and exit")(
      "metrics", "print the metric catalogue and exit")("help", "show this text");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  if (parsed.count("events") > 0) {
    std::cout << telemetry::catalogueAsMarkdown();
    std::exit(0);
  }
  if (parsed.count("metrics") > 0) {
    std::cout << telemetry::metricsAsMarkdown();
    std::exit(0);
  }
  Options options;
  options.settingsFile = parsed["settings"].as<std::string>();
  options.checkOnly = parsed.count("check") > 0;
  if (parsed.count("init") > 0) {
    options.mode = runtime::DirectoryMode::kInitialise;
  }
  if (parsed.count("join") > 0) {
    options.mode = runtime::DirectoryMode::kJoin;
  }
  options.internal = parsed["internal"].as<std::string>();
  options.http = parsed["http"].as<std::string>();
  options.zone = parsed["zone"].as<std::string>();
  options.dataDirectory = parsed["data-folder"].as<std::string>();
  return options;
}

base::Result<config::ProcessSettings> loadSettings(const Options& options) {
  BOOST_LEAF_AUTO(settings, config::loadProcessSettings(options.settingsFile));
  if (!options.internal.empty()) {
    BOOST_LEAF_ASSIGN(settings.internal, config::parseEndpoint(options.internal));
  }
  if (!options.http.empty()) {
    BOOST_LEAF_ASSIGN(settings.http, config::parseEndpoint(options.http));
  }
  settings.zone = options.zone.empty() ? settings.zone : options.zone;
  settings.dataDirectory =
      options.dataDirectory.empty() ? settings.dataDirectory : options.dataDirectory;
  return settings;
}

base::Result<int> startNode(const Options& options) {
  BOOST_LEAF_AUTO(settings, config::loadClusterSettings(options.settingsFile));
  if (options.checkOnly) {
    std::cout << options.settingsFile << ": valid\n";
    return 0;
  }
  static const tackpick::platform::PlatformAdapter kPlatformAdapter;
  return tackpick::node::runUntilStopped(settings, kPlatformAdapter);
}

base::Result<int> start(const Options& options) {
  if (config::isSelfFormed(options.settingsFile)) {
    return startNode(options);
  }
  BOOST_LEAF_AUTO(settings, loadSettings(options));
  if (options.checkOnly) {
    std::cout << options.settingsFile << ": valid\n";
    return 0;
  }
  BOOST_LEAF_AUTO(daemon, runtime::Daemon::create(settings, options.mode));
  return daemon->run();
}

/// Lets large blocks, such as those of snapshots, be allocated with mmap, so that they are returned
/// to the system when they are freed. A fixed threshold disables its dynamic growth in the C
/// library.
void configureMalloc() {
  constexpr int kMmapThresholdBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

}  // namespace

int main(int argc, char** argv) {
  // SIGHUP requests a reload of the settings. It is ignored until its handler is installed, because
  // its default action ends the process.
  std::signal(SIGHUP, SIG_IGN);
  configureMalloc();
  telemetry::initialiseLogging("tackpickd");
  try {
    const Options options = parseOptions(argc, argv);
    return base::recover(
        [&] { return start(options); },
        [](const base::Error& error) {
          const bool dataFolderError = error.code == base::ErrorCode::kCorrupt ||
                                       error.code == base::ErrorCode::kWrongIdentity;
          telemetry::logEvent(dataFolderError ? telemetry::EventId::kDataFolderRefused
                                              : telemetry::EventId::kSettingsRefused,
                              error.message);
          std::cerr << error.message << "\n";
          return kStartupRejected;
        });
  } catch (const std::exception& error) {
    std::cerr << "tackpickd: " << error.what() << "\n";
    return kStartupRejected;
  }
}
