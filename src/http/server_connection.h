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

/// Bytes taken from the socket at once.
inline constexpr std::size_t kServerReadBytes = 16U << 10U;

class ServerConnection;

/// What the connections of one server share.
struct ServerShared {
  ServerShared(asio::io_context& io, ExchangeLimits initial, ExchangeHandler onRequest)
      : context(io), limits(initial), handler(std::move(onRequest)) {}

  asio::io_context& context;
  ExchangeLimits limits;
  ExchangeHandler handler;
  bool draining = false;
  std::size_t openExchanges = 0;
  std::set<std::shared_ptr<ServerConnection>> connections;
  UnreadResponses unread;
  /// One for all connections, which read when bytes have arrived: one of each own would cost 48 MB
  /// with 3,000 of them.
  std::array<char, kServerReadBytes> readBuffer{};
};

/// One client connection: reads requests one after the other and writes their answers.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerShared> shared, asio::ip::tcp::socket socket)
      : shared_(std::move(shared)), socket_(std::move(socket)), timer_(shared_->context) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    armTimer(shared_->limits.idleTimeout);
    read();
  }

  /// Closes now unless a request is being handled.
  void closeIfIdle() {
    if (!handling_ && !writing_) {
      close();
    }
  }
  void close();
  /// Resets the connection, so that the client sees that the answer is cut.
  void abortNow();

  // For ExchangeOnConnection; `number` tells whether the exchange still is the current one.
  [[nodiscard]] bool isCurrent(std::uint64_t number) const {
    return handling_ && number == exchange_number_ && !closed_;
  }
  void respond(int status, const HeaderList& headers, std::string_view body);
  void beginAnswer(int status, const HeaderList& headers);
  void writePiece(std::string_view data);
  void finishAnswer();
  void setOnDrained(std::function<void()> callback) { m_onDrained = std::move(callback); }
  void setOnClosed(std::function<void()> callback) { on_closed_ = std::move(callback); }
  [[nodiscard]] std::size_t unsentBytes() const { return unsent_; }
  /// How long the client has taken for what was written last.
  [[nodiscard]] base::Duration stalledFor(base::TimePoint now) const {
    return writing_ ? now - m_writingSince : base::Duration{0};
  }

 private:
  static ServerConnection& of(http_parser* parser) {
    return *static_cast<ServerConnection*>(parser->data);
  }
  static const http_parser_settings& parserSettings();

  void read();
  void onReadable();
  void parsePending();
  void dispatch();
  int onHeadersComplete();
  bool countHeaderBytes(std::size_t count);
  void refuse(int status);
  [[nodiscard]] bool bodyAllowed(int status) const;
  void appendConnectionFields(std::string& out) const;
  void endExchange();
  void enqueue(std::string bytes);
  void writeNext();
  void onDrained();
  /// Cuts this connection, whose client does not read.
  void cutUnread();
  /// Cuts connections whose clients do not read, until all together hold no more than they may.
  void makeRoom();
  void subtractUnsent(std::size_t bytes);
  void armTimer(base::Duration delay);

  std::shared_ptr<ServerShared> shared_;
  asio::ip::tcp::socket socket_;
  base::Timer timer_;
  http_parser parser_{};
  std::string pending_;  ///< bytes read and not yet parsed
  bool reading_ = false;

  RawRequest request_;
  HeaderCollector fields_;
  std::size_t header_bytes_ = 0;
  bool request_begun_ = false;
  int refusal_ = 0;  ///< status that the parser's callbacks decided on

  bool handling_ = false;
  std::uint64_t exchange_number_ = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool http10_ = false;
  bool chunked_ = false;
  bool answer_begun_ = false;
  std::function<void()> on_closed_;
  std::function<void()> m_onDrained;

  std::deque<std::string> output_;
  std::string in_flight_;
  std::size_t unsent_ = 0;
  bool writing_ = false;
  base::TimePoint m_writingSince{};
  bool close_after_write_ = false;
  bool m_aborted = false;  ///< what was not sent is dropped, and nothing tells of an orderly end
  bool closed_ = false;
};

}  // namespace tackpick::http
