/// \file
/// Route of the proxy: forwards connections from a listening port to a target.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tackpick::proxy {

enum class Fault {
  kNone,
  kDisconnect,        ///< existing connections are reset and new ones closed
  kBlackHole,         ///< connections stay open and nothing is forwarded
  kDropRequests,      ///< nothing is forwarded from client to target
  kDropResponses,     ///< nothing is forwarded from target to client
  kResetAfter,        ///< connections are reset after a number of bytes to the target
  kTruncateResponse,  ///< connections are reset after a number of bytes from the target
};

/// Returns the fault with this name in the HTTP interface, or std::nullopt.
[[nodiscard]] std::optional<Fault> parseFault(std::string_view name);

struct RouteSettings {
  std::string host;
  std::uint16_t port = 0;
  std::chrono::microseconds delay{0};  ///< additional delay in each direction
};

class Relay;

/// Accepts connections and relays them with the current fault.
class Route : public std::enable_shared_from_this<Route> {
 public:
  Route(asio::io_context& context, RouteSettings settings);

  void start();
  /// Applies `fault` to existing and new connections. `bytes` is the limit of kResetAfter and
  /// kTruncateResponse per connection.
  void setFault(Fault fault, std::uint64_t bytes);
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] Fault fault() const { return fault_; }
  [[nodiscard]] std::uint64_t faultAfterBytes() const { return m_faultAfterBytes; }
  [[nodiscard]] const RouteSettings& settings() const { return settings_; }
  [[nodiscard]] asio::io_context& context() { return context_; }

 private:
  void accept();

  asio::io_context& context_;
  RouteSettings settings_;
  asio::ip::tcp::acceptor acceptor_;
  Fault fault_ = Fault::kNone;
  std::uint64_t m_faultAfterBytes = 0;
  std::vector<std::weak_ptr<Relay>> relays_;
};

/// One relayed connection. Forwards the received bytes after the delay of the route.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(std::shared_ptr<Route> route, asio::ip::tcp::socket client);

  void start();
  void close();
  /// Forwards queued bytes. Called when the fault of the route has changed.
  void resume();

 private:
  struct DelayedChunk {
    std::chrono::steady_clock::time_point dueAt;
    std::vector<char> bytes;
  };
  struct Direction {
    Direction(asio::io_context& context, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
              bool isToTarget);
    asio::ip::tcp::socket& source;
    asio::ip::tcp::socket& sink;
    const bool toTarget;
    std::vector<char> buffer;
    std::deque<DelayedChunk> queue;
    asio::steady_timer timer;
    bool writing = false;
    bool eof = false;
    std::uint64_t forwardedBytes = 0;
  };

  void read(Direction& direction);
  void write(Direction& direction);
  [[nodiscard]] bool isBlocked(const Direction& direction) const;
  /// Truncates `chunk` to the byte limit of the fault. Returns whether the connection must be
  /// closed afterwards.
  bool truncateAtFault(Direction& direction, std::vector<char>& chunk) const;

  std::shared_ptr<Route> route_;
  asio::ip::tcp::socket m_client;
  asio::ip::tcp::socket target_;
  Direction requests_;
  Direction m_responses;
  bool closed_ = false;
};

}  // namespace tackpick::proxy
