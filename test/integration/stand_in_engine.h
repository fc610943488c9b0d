/// \file
/// An engine in the test's process: answers each request with a stream of events.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/time.h"
#include "http/exchange_server.h"
#include "runtime/json.h"

namespace tackpick::test {

/// Events of each stream.
inline constexpr int kEvents = 5;

/// Weights by model.
using EngineVersions = std::map<std::string, std::uint64_t>;

/// How an engine works.
struct EngineBehaviour {
  base::Duration pace{0};  ///< between two events of a stream
  /// Of a change of weights, in which nothing new is taken; zero: orders are never carried out.
  base::Duration loadTime{0};
  EngineVersions versions = {{"m", 1}};  ///< at its start
};

class StandInEngine {
 public:
  explicit StandInEngine(std::string id, EngineBehaviour behaviour = {});
  ~StandInEngine();
  StandInEngine(const StandInEngine&) = delete;
  StandInEngine& operator=(const StandInEngine&) = delete;

  /// Its streams stop after the first event from now on, without an end.
  void stall() { m_stalled = true; }
  /// From now on its process ends when it begins to run a request whose path begins so: every
  /// connection is closed, and none is taken any more.
  void endOn(const std::string& pathPrefix);
  [[nodiscard]] bool hasRestarted() const { return m_ended; }
  /// Orders to change its weights that it has taken.
  [[nodiscard]] std::size_t orders() const { return m_orders; }
  [[nodiscard]] EngineVersions versions() const;
  /// Exchanges that never end.
  [[nodiscard]] std::size_t stalled() const;
  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  /// Heartbeats name this port, as of a proxy before the engine, instead of its own.
  void advertise(std::uint16_t port) { m_advertised = port; }
  /// `born`: when it started; zero: it does not tell.
  [[nodiscard]] runtime::Json heartbeat(std::uint64_t sequence, std::uint64_t born = 0) const;
  [[nodiscard]] const std::string& id() const { return m_id; }
  /// Requests run so far whose path begins so, by the tenant they were sent for; a request that
  /// brings a caller's key counts under "key".
  [[nodiscard]] std::map<std::string, int> tenants(const std::string& pathPrefix) const;

 private:
  /// One answer under way.
  struct Stream;

  void answer(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);
  void takeOrder(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);
  void report(const std::shared_ptr<http::Exchange>& exchange) const;
  void run(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);
  /// Writes the events that are due; those that follow wait for the pace.
  void writeEvents(const std::shared_ptr<Stream>& stream);
  void writeEvent(Stream& stream) const;
  [[nodiscard]] std::uint64_t versionOf(const std::string& model) const;
  [[nodiscard]] runtime::Json modelsJson() const;
  /// Calls back on the engine's thread.
  void later(base::Duration delay, std::function<void()> callback);

  const std::string m_id;
  const EngineBehaviour m_behaviour;
  std::atomic<bool> m_stalled = false;
  std::atomic<bool> m_ended = false;
  std::atomic<std::size_t> m_orders = 0;
  bool m_loading = false;  ///< on the engine's thread only
  EngineVersions m_versions;
  std::string m_endOn;  ///< empty: nothing ends it
  std::uint16_t m_advertised = 0;
  mutable std::mutex m_mutex;
  std::vector<http::RawRequest> m_ran;
  std::vector<std::shared_ptr<http::Exchange>> m_unfinished;
  asio::io_context m_context;
  http::ExchangeServer m_server;
  std::thread m_thread;
};

}  // namespace tackpick::test
