/// \file
/// The callers of a soak: each runs on a thread of its own and checks what it is told.
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
#include "integration/self_formed_cluster.h"
#include "integration/stand_in_engine.h"

namespace tackpick::test {

/// The first thing that went wrong; shared by all threads of a soak.
class Problem {
 public:
  void report(const std::string& what);
  [[nodiscard]] std::string text() const;

 private:
  mutable std::mutex m_mutex;
  std::string m_text;
};

/// Addresses that callers may use, as they last stood in the operators' list. Shared by all
/// threads of a soak.
class AddressBook {
 public:
  void set(std::vector<std::string> controllers, std::vector<std::string> gateways);
  [[nodiscard]] std::string controller(base::Random& random) const;
  [[nodiscard]] std::string gateway(base::Random& random) const;

 private:
  mutable std::mutex m_mutex;
  std::vector<std::string> m_controllers;
  std::vector<std::string> m_gateways;
};

/// Runs a step again and again until it is destroyed.
class Repeating {
 public:
  explicit Repeating(std::function<void()> step);
  ~Repeating();
  Repeating(const Repeating&) = delete;
  Repeating& operator=(const Repeating&) = delete;

 private:
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

/// What the callers of a soak share.
struct SoakContext {
  const SelfFormedCluster& cluster;
  const AddressBook& addresses;
  Problem& problem;
};

/// Changes the configuration and reads it back: a read is never older than what was accepted before
/// it was asked for.
class Operator {
 public:
  Operator(SoakContext context, std::uint64_t seed) : m_context(context), m_random(seed) {}

  void step();
  [[nodiscard]] std::uint64_t accepted() const { return m_accepted; }

 private:
  /// True when the newest version was accepted.
  bool change();
  void read();

  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_version = 2;
  std::atomic<std::uint64_t> m_accepted = 0;
};

/// Publishes weights of its model, now and then two versions at once, submits a batch that allows
/// the newest two, reads it whole and ends it. A batch that was accepted is there from then on, a
/// position that was read stays as it is, and no text comes from weights that are too old or that
/// were never published.
class Trainer {
 public:
  /// `key`: of the tenant whose batches these are.
  Trainer(SoakContext context, std::string model, std::string key, std::uint64_t seed)
      : m_context(context), m_model(std::move(model)), m_key(std::move(key)), m_random(seed) {}

  void step();
  /// Batches read whole.
  [[nodiscard]] std::size_t whole() const { return m_whole; }

 private:
  void publish();
  void submit();
  void read();
  void checkVersions(const runtime::Json& result);
  HttpAnswer callGateway(const std::string& method, const std::string& path,
                         const std::string& body, const std::string& id);

  const SoakContext m_context;
  const std::string m_model;
  const std::string m_key;
  base::SeededRandom m_random;
  std::uint64_t m_published = 1;  ///< newest version that was accepted
  std::uint64_t m_toPublish = 0;  ///< versions before the next batch
  std::uint64_t m_minimum = 1;    ///< of the batch under way
  std::string m_name = {};        ///< of the batch under way; empty: none
  bool m_acceptedBatch = false;
  std::uint64_t m_batches = 0;
  std::map<std::size_t, std::string> m_seen;  ///< results by position
  std::atomic<std::size_t> m_whole = 0;
};

/// Sends one request after the other on one connection to each gateway, which it keeps until the
/// gateway closes it. An answer belongs to its request and is whole.
class KeptCaller {
 public:
  explicit KeptCaller(SoakContext context, std::uint64_t seed)
      : m_context(context), m_random(seed) {}
  ~KeptCaller();
  KeptCaller(const KeptCaller&) = delete;
  KeptCaller& operator=(const KeptCaller&) = delete;

  void step();
  [[nodiscard]] std::size_t served() const { return m_served; }

 private:
  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_requests = 0;
  std::map<std::string, void*> m_connections;  ///< curl handles, by gateway
  std::atomic<std::size_t> m_served = 0;
};

/// Sends one request that ends each engine that runs it, again and again, under another id and at
/// any gateway.
class EndingCaller {
 public:
  EndingCaller(SoakContext context, std::uint64_t seed) : m_context(context), m_random(seed) {}

  void step();

 private:
  const SoakContext m_context;
  base::SeededRandom m_random;
  std::uint64_t m_tries = 0;
};

/// Sends the heartbeats of an engine that may start again under its name.
class EngineLife {
 public:
  EngineLife(SoakContext context, std::string name, std::uint64_t seed);

  void step();
  /// The engine dies, and another life of it begins at another port.
  void restart();
  /// Lives that a request has ended.
  [[nodiscard]] std::size_t endedByRequests() const { return m_endedByRequests; }

 private:
  void beginLife();

  const SoakContext m_context;
  const std::string m_name;
  base::SeededRandom m_random;
  EngineBehaviour m_behaviour;  ///< drawn once: engines differ
  std::mutex m_mutex;
  std::unique_ptr<StandInEngine> m_engine;
  std::uint64_t m_born = 1;
  std::uint64_t m_sequence = 0;
  std::atomic<std::size_t> m_endedByRequests = 0;
};

}  // namespace tackpick::test
