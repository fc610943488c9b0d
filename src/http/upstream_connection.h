/// \file
/// Connections of an UpstreamClient.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "http/header_collector.h"
#include "http/syntax_checker.h"
#include "http/upstream_client.h"

namespace tackpick::http {

/// Maximum number of bytes per read from the socket.
inline constexpr std::size_t kUpstreamReadBytes = 32U << 10U;

/// Maximum size of the heads and trailers of all responses that are received for one request: the
/// final one, interim ones and late ones to other requests. More is an error.
inline constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

/// Returns the HTTP/1.1 representation of the head of `request` without header fields that cannot
/// be sent. Empty if the target cannot be sent.
[[nodiscard]] std::string serializeHead(const UpstreamRequest& request);
/// Returns the body that is sent with `request`.
[[nodiscard]] const std::string& bodyOf(const UpstreamRequest& request);

class UpstreamConnection;

/// The active and idle connections of a client.
class UpstreamPool {
 public:
  UpstreamPool(asio::io_context& io, UpstreamClientSettings initialSettings)
      : context(io), settings(initialSettings) {}

  std::shared_ptr<UpstreamConnection> acquireIdle(const Address& address);
  void releaseIdle(const std::shared_ptr<UpstreamConnection>& connection);
  void removeIdle(const std::shared_ptr<UpstreamConnection>& connection);
  /// Closes an idle connection if there are too many connections to open another one.
  void makeRoomForConnection();

  asio::io_context& context;
  const UpstreamClientSettings settings;
  std::map<ExchangeId, std::shared_ptr<UpstreamConnection>> active;
  std::map<Address, std::vector<std::shared_ptr<UpstreamConnection>>> idle;
  UpstreamCounters counters;
  ExchangeId nextExchangeId{1};
  bool stopped = false;
};

/// A connection to a server. Handles one exchange at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(std::shared_ptr<UpstreamPool> pool, Address address)
      : m_pool(std::move(pool)),
        address_(std::move(address)),
        socket_(m_pool->context),
        timer_(m_pool->context) {}

  void start(ExchangeId id, UpstreamRequest request, UpstreamEvents events) {
    id_ = id;
    request_ = std::move(request);
    events_ = std::move(events);
    m_head = serializeHead(request_);
    m_inExchange = true;
    m_paused = false;
    m_sentAt.reset();
    m_exchangeComplete = false;
    m_bodyBytes = 0;
    m_writeState = WriteState::kPending;
    m_headersReceived = false;
    m_headerBytes = 0;
    m_reusable = true;
    m_responseComplete = false;
    resetParser();
    timer_.cancel();
    if (connected_) {
      send();
    } else {
      connect();
    }
  }

  /// Closes the connection. Resets it if an exchange is incomplete.
  void close();

  void pause() { m_paused = true; }
  void resume() {
    m_paused = false;
    if (!m_responseComplete) {
      read();
    }
  }

  void startIdleTimer() {
    m_inExchange = false;
    m_paused = false;
    events_ = {};
    timer_.expires_after(idle_timeout_);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && !self->m_inExchange) {
        self->m_pool->removeIdle(self);
        self->close();
      }
    });
  }

  [[nodiscard]] const Address& address() const { return address_; }
  [[nodiscard]] bool isOpen() const { return !closed_; }
  /// Returns when the first byte of the current request was sent.
  [[nodiscard]] std::optional<base::TimePoint> sentAt() const { return m_sentAt; }

 private:
  /// Whether the current request has been written to the socket.
  enum class WriteState : std::uint8_t { kPending, kWritten, kFailed };

  static UpstreamConnection& fromParser(http_parser* parser) {
    return *static_cast<UpstreamConnection*>(parser->data);
  }
  static const http_parser_settings& parserSettings();

  void connect();
  void setSocketOptions();
  /// Sends the request if that is still permitted.
  void send();
  void startResponseTimer();
  /// Passes a part of the response's body on. Returns the result of an http_parser callback: zero,
  /// or -1 if the body is too long.
  int onBody(std::string_view data);
  void write();
  void onWriteEnded(const asio::error_code& error);
  void read();
  void onBytes(std::size_t count);
  void onReadError(const asio::error_code& error);
  /// Handles the end of the stream, which completes a response without a length unless the
  /// connection was reset.
  void onEndOfStream();
  int onHeadersComplete();
  /// Returns the result of an http_parser callback: zero, or -1 if the headers are too long.
  int countHeaderBytes(std::size_t count) {
    m_headerBytes += count;
    return m_headerBytes > kMaxHeaderBytes ? -1 : 0;
  }
  /// Returns the result of an http_parser callback: zero, or -1 if a trailer field is invalid.
  int onMessageComplete();
  /// Prepares for the next response on the connection.
  void resetParser();
  /// Parses a part of the response. Returns the number of bytes parsed, or std::nullopt if the
  /// response is malformed.
  std::optional<std::size_t> parse(std::string_view part);
  void fail(const std::string& error, bool malformed = false);
  void succeed();
  void end(const UpstreamResult& result);

  std::shared_ptr<UpstreamPool> m_pool;
  const Address address_;
  asio::ip::tcp::socket socket_;
  base::Timer timer_;
  base::Duration idle_timeout_{};

  ExchangeId id_;
  UpstreamRequest request_;
  UpstreamEvents events_;
  std::string m_head;  ///< serialized
  http_parser parser_{};
  std::array<char, kUpstreamReadBytes> buffer_{};
  std::string m_statusLineStart;  ///< the bytes that isValidStatusLine() checks
  SyntaxChecker m_syntax;
  HeaderCollector m_headerCollector;
  std::size_t m_headerBytes = 0;
  std::size_t m_bodyBytes = 0;
  bool connected_ = false;
  bool reading_ = false;
  bool m_inExchange = false;
  bool m_paused = false;  ///< reading the response is suspended
  std::optional<base::TimePoint> m_sentAt;
  WriteState m_writeState = WriteState::kPending;
  bool m_headersReceived = false;  ///< of the final response to the current request
  bool m_mismatched = false;       ///< the current response belongs to another request
  bool m_reusable = true;
  bool m_responseComplete = false;
  bool m_exchangeComplete = true;  ///< the last request was sent and its response received
  bool closed_ = false;
};

}  // namespace tackpick::http
