/// \file
/// HTTP/1.1 server on Asio and http_parser. It continues to read while a request is handled, to
/// detect immediately that the client has disconnected. Its limits can be changed at run time.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/header_list.h"

namespace tackpick::http {

/// An unmodified request with its complete body.
struct RawRequest {
  std::string method;
  std::string target;  ///< path and query, not decoded
  HeaderList headers;
  std::string body;
  base::TimePoint receivedAt{};

  /// Returns the target without its query.
  [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }
};

/// One request and its response. Used on the server's thread. Calls after the end of the exchange
/// have no effect.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Sends a complete response.
  virtual void respond(int status, const HeaderList& headers, std::string_view body) = 0;
  /// Begins a response of unknown length.
  virtual void begin(int status, const HeaderList& headers) = 0;
  virtual void write(std::string_view data) = 0;
  virtual void finish() = 0;
  /// Resets the connection, so that the client detects that the response is incomplete.
  virtual void abort() = 0;
  /// Sets the callback for a connection that is closed before the response is complete.
  virtual void onClosed(std::function<void()> callback) = 0;
  /// Sets the callback that is called each time the send queue becomes empty, until the response is
  /// complete.
  virtual void onDrained(std::function<void()> callback) = 0;
  /// Returns the number of bytes queued on the connection and not yet written to the socket.
  [[nodiscard]] virtual std::size_t unsentBytes() const = 0;
  /// Reserves memory for what the handler makes of the request, until the exchange is destroyed.
  /// Returns false if the server has no more; the request should then be rejected.
  [[nodiscard]] virtual bool reserveMemory(std::size_t bytes) = 0;
};

using ExchangeHandler = std::function<void(RawRequest request, std::shared_ptr<Exchange> exchange)>;

/// Size limits and timeouts of client connections.
struct ExchangeLimits {
  std::size_t maxHeaderBytes = 16U << 10U;
  std::size_t maxBodyBytes = 8U << 20U;
  base::Duration headerTimeout = base::seconds(5);  ///< from the first byte to the last header
  base::Duration bodyTimeout = base::seconds(20);   ///< from the last header to the last byte
  base::Duration idleTimeout = base::seconds(20);   ///< between two requests
  /// Maximum time for a client to read the error response after a request timeout.
  base::Duration writeTimeout = base::seconds(20);
  /// Maximum number of unsent bytes of one connection. Above it, a stream is aborted and no further
  /// request is read.
  std::size_t maxUnsentBytes = 4U << 20U;
  /// Maximum number of unsent bytes of all connections together. Above it, the connections that
  /// have been stalled for longest are aborted.
  std::size_t maxTotalUnsentBytes = 32U << 20U;
  /// Minimum time for which a connection must be stalled before it may be aborted to enforce
  /// maxTotalUnsentBytes or maxRequestBytes.
  base::Duration minStallTime = base::seconds(1);
  /// Memory of all requests that are being handled and of all long bodies. A quarter of it is left
  /// to short requests.
  std::size_t maxRequestBytes = 96U << 20U;
  /// Memory of all heads, short bodies and bytes read ahead that do not form a complete request
  /// yet. Above it, the connections that have been silent for longest are closed.
  std::size_t maxUnfinishedBytes = 16U << 20U;
  /// Maximum number of connections. Above it, the connection without a request that has been silent
  /// for longest is closed, or the new one if there is none.
  std::size_t maxConnections = 1536;
  /// Maximum time and size for reading the rest of a rejected request, so that the client receives
  /// the response instead of a reset.
  base::Duration maxDiscardTime = base::seconds(2);
  std::size_t maxDiscardBytes = 64U << 20U;
};

/// Why a server rejected a request or closed a connection to stay within its limits.
enum class ShedReason : std::uint8_t {
  kNoMemory,      ///< request rejected: too much memory is in use
  kSlowBody,      ///< unfinished long body given up for another request
  kSilent,        ///< unfinished request given up: too many unfinished bytes
  kConnections,   ///< connection without a request closed for a new one
  kNoConnection,  ///< new connection closed: all connections have requests
  kNoDescriptor,  ///< connection not accepted: the process has no free descriptor
};
inline constexpr std::size_t kShedReasons = 6;

/// Returns the name of the reason in metrics and logs.
[[nodiscard]] std::string_view toString(ShedReason reason);

/// What a server holds for clients, and what it has rejected or closed since the start.
struct ServerLoad {
  std::size_t requestBytes = 0;     ///< see ExchangeLimits::maxRequestBytes
  std::size_t unfinishedBytes = 0;  ///< see ExchangeLimits::maxUnfinishedBytes
  std::size_t connections = 0;
  std::array<std::uint64_t, kShedReasons> shed{};  ///< by ShedReason
};

/// Response data that clients have not read.
struct UnreadResponses {
  std::size_t bytes = 0;  ///< queued and not yet written to a socket
  std::uint64_t disconnectCount =
      0;  ///< connections aborted because of unread data, since the start
};

/// HTTP server that runs on the thread of `context`.
class ExchangeServer {
 public:
  ExchangeServer(asio::io_context& context, const std::string& host, std::uint16_t port,
                 ExchangeLimits limits, ExchangeHandler handler);
  ~ExchangeServer();
  ExchangeServer(const ExchangeServer&) = delete;
  ExchangeServer& operator=(const ExchangeServer&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  /// Sets the limits for requests that begin after the call.
  void setLimits(const ExchangeLimits& limits);
  /// Closes the listening socket and all idle connections. The other connections are closed after
  /// their current response.
  void beginDrain();
  /// Responds with `status` to every request without a response, and resets the connections with a
  /// part of one. Their handlers are told that the clients are gone.
  void endExchanges(int status);
  /// Returns the number of requests without a complete response.
  [[nodiscard]] std::size_t openExchanges() const;
  [[nodiscard]] std::size_t openConnections() const;
  [[nodiscard]] UnreadResponses unreadResponses() const;
  [[nodiscard]] ServerLoad load() const;
  /// Whether a response of `bytes` bytes can be queued within the limit for unsent bytes.
  [[nodiscard]] bool hasRoomForResponse(std::size_t bytes) const;
  /// Closes the listening socket and every connection.
  void stop();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

/// Returns the standard reason phrase, or "Status" if the status is unknown.
[[nodiscard]] std::string_view reasonPhrase(int status);

}  // namespace tackpick::http
