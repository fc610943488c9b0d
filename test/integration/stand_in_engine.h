/// \file
/// An engine in the test's process: answers each request with a stream of events.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/exchange_server.h"
#include "runtime/json.h"

namespace tackpick::test {

/// Events of each stream.
inline constexpr int kEvents = 5;

class StandInEngine {
 public:
  explicit StandInEngine(std::string id);
  ~StandInEngine();
  StandInEngine(const StandInEngine&) = delete;
  StandInEngine& operator=(const StandInEngine&) = delete;

  /// Its streams stop after the first event from now on, without an end.
  void stall() { m_stalled = true; }
  /// From now on its process ends when it begins to run a request whose path begins so: every
  /// connection is closed, and none is taken any more.
  void endOn(const std::string& pathPrefix);
  [[nodiscard]] bool hasEnded() const { return m_ended; }
  /// Orders to change its weights that it has taken; it never carries them out.
  [[nodiscard]] std::size_t orders() const { return m_orders; }
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
  void answer(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);

  const std::string m_id;
  std::atomic<bool> m_stalled = false;
  std::atomic<bool> m_ended = false;
  std::atomic<std::size_t> m_orders = 0;
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
