/// \file
/// HTTP/1.1 server on Asio and http_parser. It goes on reading while a request is handled, so that
/// a caller's hang-up is noticed at once, and its limits may change while it runs.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "http/header_list.h"

namespace tackpick::http {

/// A request as it arrived; the body is whole.
struct RawRequest {
  std::string method;
  std::string target;  ///< path and query, unaltered
  HeaderList headers;
  std::string body;
  base::TimePoint receivedAt{};

  /// The target without its query.
  [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }
};

/// One request with its answer. Used on the server's thread; calls after the end do nothing.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Sends a whole answer.
  virtual void respond(int status, const HeaderList& headers, std::string_view body) = 0;
  /// Begins an answer whose length is not known.
  virtual void begin(int status, const HeaderList& headers) = 0;
  virtual void write(std::string_view data) = 0;
  virtual void finish() = 0;
  /// Cuts the connection, so that the client sees an incomplete answer.
  virtual void abort() = 0;
  /// Called when the client hangs up before the answer is complete.
  virtual void onClosed(std::function<void()> callback) = 0;
  /// Called each time that everything handed over has been written, until the answer is complete.
  virtual void onDrained(std::function<void()> callback) = 0;
  /// Bytes handed over and not yet written: a client that does not read makes it grow.
  [[nodiscard]] virtual std::size_t unsentBytes() const = 0;
};

using ExchangeHandler = std::function<void(RawRequest request, std::shared_ptr<Exchange> exchange)>;

/// What a client may send and how long it may take.
struct ExchangeLimits {
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 8U << 20U;
  base::Duration headerTimeout = base::seconds(5);  ///< from the first byte to the last header
  base::Duration bodyTimeout = base::seconds(20);   ///< from the last header to the last byte
  base::Duration idleTimeout = base::seconds(20);   ///< between two requests
  base::Duration writeTimeout = base::seconds(20);  ///< for a client to take what was written
  /// Answered and unread, of one connection: a stream beyond it is cut, and no further request is
  /// taken.
  std::size_t unsentBytes = 4U << 20U;
  /// The same of all connections: beyond it those are cut that have read nothing for longest.
  std::size_t totalUnsentBytes = 32U << 20U;
  /// A client that takes so long for what was written last may be cut for others' sake.
  base::Duration stallTime = base::seconds(1);
};

/// What clients have not read.
struct UnreadResponses {
  std::size_t bytes = 0;              ///< handed over and not yet written, now
  std::uint64_t disconnectCount = 0;  ///< connections that were cut for it, since the start
};

/// Serves on the thread that runs `context`.
class ExchangeServer {
 public:
  ExchangeServer(asio::io_context& context, const std::string& host, std::uint16_t port,
                 ExchangeLimits limits, ExchangeHandler handler);
  ~ExchangeServer();
  ExchangeServer(const ExchangeServer&) = delete;
  ExchangeServer& operator=(const ExchangeServer&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  /// For requests that begin from now on.
  void setLimits(const ExchangeLimits& limits);
  /// From now on nobody can connect, each answer ends its connection, and idle connections are
  /// closed.
  void beginDrain();
  /// Requests without a complete answer.
  [[nodiscard]] std::size_t openExchanges() const;
  [[nodiscard]] std::size_t openConnections() const;
  [[nodiscard]] UnreadResponses unreadResponses() const;
  /// Closes the listening socket and every connection.
  void stop();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

/// The standard reason phrase, or "Status".
[[nodiscard]] std::string_view reasonPhrase(int status);

}  // namespace tackpick::http
