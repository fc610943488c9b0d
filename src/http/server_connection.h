/// \file
/// One client connection of an ExchangeServer.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/timer.h"
#include "http/exchange_server.h"
#include "http/header_collector.h"
#include "http/memory_pool.h"
#include "http/syntax_checker.h"

namespace tackpick::http {

/// Maximum number of bytes per read from the socket.
inline constexpr std::size_t kServerReadBytes = 16U << 10U;

class ServerConnection;

/// State shared by the connections of a server.
struct ServerState {
  ServerState(asio::io_context& io, const ExchangeLimits& initial, ExchangeHandler onRequest)
      : context(io),
        limits(initial),
        handler(std::move(onRequest)),
        requestMemory(std::make_shared<MemoryPool>(initial.maxRequestBytes)),
        unfinishedMemory(std::make_shared<MemoryPool>(initial.maxUnfinishedBytes)) {}

  void setLimits(const ExchangeLimits& newLimits) {
    limits = newLimits;
    requestMemory->setLimit(newLimits.maxRequestBytes);
    unfinishedMemory->setLimit(newLimits.maxUnfinishedBytes);
  }
  void countShed(ShedReason reason) { ++shed[static_cast<std::size_t>(reason)]; }
  /// Memory that long bodies leave to short requests.
  [[nodiscard]] std::size_t spareForShortRequests() const {
    constexpr std::size_t kDivisor = 4;
    return limits.maxRequestBytes / kDivisor;
  }
  /// Maximum size of a body that can be received while nothing else uses memory.
  [[nodiscard]] std::size_t maxLongBodyBytes() const;
  /// Closes the connection without a complete request that has been silent for longest, or the one
  /// that also holds unfinished bytes. Returns false if there is none.
  bool closeSilent(ShedReason reason, bool withUnfinishedBytes = false);
  /// Closes silent connections until the unfinished bytes are within their limit.
  void enforceUnfinishedLimit();
  /// Gives up the slowest of the long bodies that are too slow to arrive in time, other than that
  /// of `exceptFor`. Returns false if there is none.
  bool giveUpSlowestBody(const ServerConnection& exceptFor, base::TimePoint now);

  asio::io_context& context;
  ExchangeLimits limits;
  ExchangeHandler handler;
  bool draining = false;
  std::size_t openExchanges = 0;
  std::set<std::shared_ptr<ServerConnection>> connections;
  UnreadResponses unread;
  std::shared_ptr<MemoryPool> requestMemory;
  std::shared_ptr<MemoryPool> unfinishedMemory;
  /// Connections without a complete request, in the order of their last activity.
  std::list<ServerConnection*> silent;
  /// Connections that receive a long body.
  std::set<ServerConnection*> longBodies;
  std::array<std::uint64_t, kShedReasons> shed{};
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
        timer_(m_serverState->context),
        m_unfinishedMemory(m_serverState->unfinishedMemory),
        m_requestMemory(m_serverState->requestMemory) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    armTimer(m_serverState->limits.idleTimeout);
    touch();
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
  /// Closes the connection at once to free what it holds. A client whose request has begun is told
  /// that it was not run.
  void shed();
  /// Responds with `status` to the request that is being handled, or resets the connection if the
  /// response has begun. The request's handler is told that the client is gone.
  void endRequest(int status);
  /// Rejects the request whose body is being received.
  void giveUpBody();
  /// Returns the rate in bytes per second at which a long body arrives if that is too slow for it
  /// to arrive in time; std::nullopt otherwise.
  [[nodiscard]] std::optional<double> insufficientRate(base::TimePoint now) const;
  [[nodiscard]] bool isWriting() const { return writing_; }
  [[nodiscard]] std::size_t unfinishedBytes() const { return m_unfinishedMemory.bytes(); }

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
  [[nodiscard]] bool mayRead() const;
  void onReadable();
  void onInput(std::string_view data);
  void parseInput();
  /// Parses `data` up to the end of a request. Returns the number of bytes parsed.
  std::size_t parse(std::string_view data);
  /// Parses a part of the request: a line of its head, or any bytes of its body. Returns the number
  /// of bytes parsed.
  std::size_t parsePart(std::string_view part);
  /// Whether input may be parsed now; otherwise it is kept.
  [[nodiscard]] bool mayParse() const;
  void dispatch();
  /// Creates the exchange of the current request, which takes over the request's memory.
  [[nodiscard]] std::shared_ptr<Exchange> makeExchange();
  int onHeadersComplete();
  /// Returns the result of an http_parser callback: zero, or -1 if the body is rejected.
  int onBody(std::string_view data);
  /// Makes room for a body of `size` bytes. Returns false if there is no memory for it.
  bool growBody(std::size_t size);
  /// Reserves memory for a long body; gives up slower ones if there is none.
  bool reserveLongBody(std::size_t bytes);
  void stopReceivingBody();
  bool countHeaderBytes(std::size_t count);
  /// Updates the memory held for an unfinished request.
  void accountUnfinished();
  void reject(int status);
  /// Frees what has been received of a request that is not handled.
  void releaseRequest();
  /// Closes the sending side and reads what the client still sends, within limits.
  void beginDiscarding();
  void discardInput(std::size_t count);
  /// Marks the connection as active just now, if it has no complete request.
  void touch();
  void stopBeingSilent();
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
  std::size_t m_headMemory = 0;  ///< of the head, once it is complete
  SyntaxChecker m_syntax;
  bool m_requestComplete = false;
  /// Heads, short bodies and bytes read ahead; a long body is counted by m_requestMemory.
  MemoryReservation m_unfinishedMemory;
  MemoryReservation m_requestMemory;
  bool m_receivingLongBody = false;
  base::TimePoint m_bodyStartedAt{};
  base::TimePoint m_bodyProgressAt{};
  std::optional<std::list<ServerConnection*>::iterator> m_silentPosition;
  bool m_discardAfterWrite = false;  ///< the request was rejected
  bool m_discarding = false;
  std::size_t m_discardedBytes = 0;
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
