/// \file
/// One client connection of an ExchangeServer.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/timer.h"
#include "http/exchange_server.h"
#include "http/header_collector.h"

namespace tackpick::http {

/// Maximum number of bytes per read from the socket.
inline constexpr std::size_t kServerReadBytes = 16U << 10U;

class ServerConnection;

/// State shared by the connections of a server.
struct ServerState {
  ServerState(asio::io_context& io, ExchangeLimits initial, ExchangeHandler onRequest)
      : context(io), limits(initial), handler(std::move(onRequest)) {}

  asio::io_context& context;
  ExchangeLimits limits;
  ExchangeHandler handler;
  bool draining = false;
  std::size_t openExchanges = 0;
  std::set<std::shared_ptr<ServerConnection>> connections;
  UnreadResponses unread;
  /// Shared by all connections: a buffer for each would take 48 MB with 3,000 connections.
  /// Connections only read when data has arrived and copy it out at once.
  std::array<char, kServerReadBytes> readBuffer{};
};

/// One client connection, which reads requests and writes their responses in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> state, asio::ip::tcp::socket socket)
      : m_serverState(std::move(state)),
        socket_(std::move(socket)),
        timer_(m_serverState->context) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    armTimer(m_serverState->limits.idleTimeout);
    read();
  }

  /// Closes the connection unless a request is being handled or a response is being written.
  void closeIfIdle() {
    if (!m_handlingRequest && !writing_) {
      close();
    }
  }
  void close();
  /// Resets the connection, so that the client detects that the response is incomplete.
  void resetConnection();

  // Functions for ConnectionExchange.

  /// Whether the exchange with this number is still the current one.
  [[nodiscard]] bool isCurrent(std::uint64_t number) const {
    return m_handlingRequest && number == m_exchangeNumber && !closed_;
  }
  void respond(int status, const HeaderList& headers, std::string_view body);
  void beginResponse(int status, const HeaderList& headers);
  void writeChunk(std::string_view data);
  void finishResponse();
  void setOnDrained(std::function<void()> callback) { m_onDrained = std::move(callback); }
  void setOnClosed(std::function<void()> callback) { on_closed_ = std::move(callback); }
  [[nodiscard]] std::size_t unsentBytes() const { return m_unsentBytes; }
  /// Returns the time since the current write began; zero if none is in progress.
  [[nodiscard]] base::Duration stallDuration(base::TimePoint now) const {
    return writing_ ? now - m_writeStartedAt : base::Duration{0};
  }

 private:
  static ServerConnection& fromParser(http_parser* parser) {
    return *static_cast<ServerConnection*>(parser->data);
  }
  static const http_parser_settings& parserSettings();

  void read();
  void onReadable();
  void parseInput();
  void dispatch();
  int onHeadersComplete();
  bool countHeaderBytes(std::size_t count);
  void reject(int status);
  [[nodiscard]] bool bodyAllowed(int status) const;
  void appendConnectionHeader(std::string& out) const;
  void endExchange();
  void enqueue(std::string bytes);
  void writeNext();
  void onDrained();
  /// Aborts this connection because its client does not read.
  void disconnectSlowReader();
  /// Aborts stalled connections until the unsent bytes of all connections are within the limit.
  void enforceUnsentLimit();
  void subtractUnsent(std::size_t bytes);
  void armTimer(base::Duration delay);

  std::shared_ptr<ServerState> m_serverState;
  asio::ip::tcp::socket socket_;
  base::Timer timer_;
  http_parser parser_{};
  std::string m_inputBuffer;  ///< bytes read but not parsed
  bool reading_ = false;

  RawRequest request_;
  HeaderCollector m_headerCollector;
  std::size_t m_headerBytes = 0;
  bool m_requestStarted = false;
  int m_rejectStatus = 0;  ///< status set by a parser callback that rejected the request

  bool m_handlingRequest = false;
  std::uint64_t m_exchangeNumber = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool http10_ = false;
  bool chunked_ = false;
  bool m_responseStarted = false;
  std::function<void()> on_closed_;
  std::function<void()> m_onDrained;

  std::deque<std::string> m_outputQueue;
  std::string m_writeBuffer;
  std::size_t m_unsentBytes = 0;
  bool writing_ = false;
  base::TimePoint m_writeStartedAt{};
  bool close_after_write_ = false;
  bool m_aborted = false;  ///< closed by a reset, without sending the queued data
  bool closed_ = false;
};

}  // namespace tackpick::http
