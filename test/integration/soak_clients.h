/// \file
/// Clients of a soak test. Each runs on its own thread and checks the responses that it receives.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "integration/fake_engine.h"
#include "integration/test_cluster.h"

namespace tackpick::test {

/// The first failure of a soak. Thread-safe.
class FirstFailure {
 public:
  void report(const std::string& what);
  [[nodiscard]] std::string text() const;

 private:
  mutable std::mutex m_mutex;
  std::string m_text;
};

/// Addresses of the controllers and gateways that clients may use. Thread-safe.
class EndpointList {
 public:
  void set(std::vector<std::string> controllers, std::vector<std::string> gateways);
  [[nodiscard]] std::string controller(base::Random& random) const;
  [[nodiscard]] std::string gateway(base::Random& random) const;

 private:
  mutable std::mutex m_mutex;
  std::vector<std::string> m_controllers;
  std::vector<std::string> m_gateways;
};

/// Runs a step repeatedly on its own thread until it is destroyed.
class RepeatingThread {
 public:
  explicit RepeatingThread(std::function<void()> step);
  ~RepeatingThread();
  RepeatingThread(const RepeatingThread&) = delete;
  RepeatingThread& operator=(const RepeatingThread&) = delete;

 private:
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

/// Objects that all clients of a soak share.
struct SoakContext {
  const TestCluster& cluster;
  const EndpointList& addresses;
  FirstFailure& failure;
};

/// Replaces the configuration and reads it. Checks that a read returns no older version than the
/// last one accepted before it.
class Operator {
 public:
  Operator(SoakContext context, std::uint64_t seed) : m_context(context), m_random(seed) {}

  void step();
  [[nodiscard]] std::uint64_t acceptedVersion() const { return m_acceptedVersion; }

 private:
  /// Returns whether the newest version was accepted.
  bool replaceConfiguration();
  void readConfiguration();

  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_version = 2;
  std::atomic<std::uint64_t> m_acceptedVersion = 0;
};

/// Publishes weights of its model and submits a batch that allows the newest two versions. Checks
/// that an accepted batch exists, that results keep their positions and that they stem from
/// allowed, published versions.
class Trainer {
 public:
  /// `key`: API key of the tenant that submits the batches.
  Trainer(SoakContext context, std::string model, std::string key, std::uint64_t seed)
      : m_context(context), m_model(std::move(model)), m_key(std::move(key)), m_random(seed) {}

  void step();
  /// Returns the number of batches that were read completely.
  [[nodiscard]] std::size_t completedBatches() const { return m_completedBatches; }

 private:
  void publish();
  void submit();
  void readResults();
  void checkVersions(const runtime::Json& result);
  HttpResponse callGateway(const std::string& method, const std::string& path,
                           const std::string& body, const std::string& id);

  const SoakContext m_context;
  const std::string m_model;
  const std::string m_key;
  base::SeededRandom m_random;
  std::uint64_t m_publishedVersion = 1;   ///< newest accepted version
  std::uint64_t m_versionsToPublish = 0;  ///< versions to publish before the next batch
  std::uint64_t m_minVersion = 1;         ///< oldest version that the current batch allows
  std::string m_batchName = {};           ///< current batch; empty: none
  bool m_batchAccepted = false;
  std::uint64_t m_batchCount = 0;
  std::map<std::size_t, std::string> m_resultsByPosition;
  std::atomic<std::size_t> m_completedBatches = 0;
};

/// Sends requests over one kept-alive connection to each gateway. Checks that each response is
/// complete and belongs to its request.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(SoakContext context, std::uint64_t seed)
      : m_context(context), m_random(seed) {}
  ~KeepAliveCaller();
  KeepAliveCaller(const KeepAliveCaller&) = delete;
  KeepAliveCaller& operator=(const KeepAliveCaller&) = delete;

  void step();
  [[nodiscard]] std::size_t served() const { return m_served; }

 private:
  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_requests = 0;
  std::map<std::string, void*> m_connections;  ///< curl handles, by gateway
  std::atomic<std::size_t> m_served = 0;
};

/// Repeats a request that crashes engines, each time under a new id and at a random gateway.
class CrashingCaller {
 public:
  CrashingCaller(SoakContext context, std::uint64_t seed) : m_context(context), m_random(seed) {}

  void step();

 private:
  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_attempts = 0;
};

/// Engine that restarts under its name after a crash, and sends its heartbeats.
class RestartableEngine {
 public:
  RestartableEngine(SoakContext context, std::string name, std::uint64_t seed);

  void step();
  /// Replaces the engine by a new incarnation at another port.
  void restart();
  /// Returns how many incarnations were crashed by requests.
  [[nodiscard]] std::size_t crashCount() const { return m_crashCount; }

 private:
  void startIncarnation();

  const SoakContext m_context;
  const std::string m_name;
  base::SeededRandom m_random;
  FakeEngineOptions m_options;  ///< random for each engine
  std::mutex m_mutex;
  std::unique_ptr<FakeEngine> m_engine;
  std::uint64_t m_startTime = 1;
  std::uint64_t m_sequence = 0;
  std::atomic<std::size_t> m_crashCount = 0;
};

}  // namespace tackpick::test
