/// \file
/// The connections of an UpstreamClient.
#pragma once

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "http/header_collector.h"
#include "http/upstream_client.h"

namespace tackpick::http {

/// Bytes taken from the socket at once.
inline constexpr std::size_t kUpstreamReadBytes = 32U << 10U;

/// Headers of an answer that are longer end its connection.
inline constexpr std::size_t kMaximumHeaderBytes = 64U << 10U;

/// A request as it goes over the wire.
[[nodiscard]] std::string requestBytes(const UpstreamRequest& request);

class UpstreamConnection;

/// The connections of one client.
class UpstreamPool {
 public:
  UpstreamPool(asio::io_context& io, UpstreamSettings clientSettings)
      : context(io), settings(clientSettings) {}

  std::shared_ptr<UpstreamConnection> takeIdle(const Address& address);
  void keepIdle(const std::shared_ptr<UpstreamConnection>& connection);
  void forgetIdle(const std::shared_ptr<UpstreamConnection>& connection);

  asio::io_context& context;
  const UpstreamSettings settings;
  std::map<ExchangeId, std::shared_ptr<UpstreamConnection>> active;
  std::map<Address, std::vector<std::shared_ptr<UpstreamConnection>>> idle;
  UpstreamCounters counters;
  ExchangeId next{1};
  bool stopped = false;
};

/// One connection to a server; serves one exchange at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(std::shared_ptr<UpstreamPool> client, Address address)
      : client_(std::move(client)),
        address_(std::move(address)),
        socket_(client_->context),
        timer_(client_->context) {}

  void start(ExchangeId id, UpstreamRequest request, UpstreamEvents events) {
    id_ = id;
    request_ = std::move(request);
    events_ = std::move(events);
    output_ = requestBytes(request_);
    busy_ = true;
    m_paused = false;
    sent_any_ = false;
    written_ = false;
    head_seen_ = false;
    keep_ = true;
    answered_ = false;
    resetParser();
    timer_.cancel();
    if (connected_) {
      write();
    } else {
      connect();
    }
  }

  void close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

  void pause() { m_paused = true; }
  void resume() {
    m_paused = false;
    read();
  }

  void waitIdle() {
    busy_ = false;
    m_paused = false;
    events_ = {};
    timer_.expires_after(idle_timeout_);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && !self->busy_) {
        self->client_->forgetIdle(self);
        self->close();
      }
    });
  }

  [[nodiscard]] const Address& address() const { return address_; }
  [[nodiscard]] bool usable() const { return !closed_; }

 private:
  static UpstreamConnection& of(http_parser* parser) {
    return *static_cast<UpstreamConnection*>(parser->data);
  }
  static const http_parser_settings& parserSettings();

  void connect();
  void write();
  void read();
  void onBytes(std::size_t count);
  void onReadError(const asio::error_code& error);
  int onHeadersComplete();
  /// Zero while the headers are not too long, as http_parser wants it.
  int countHeaderBytes(std::size_t count) {
    header_bytes_ += count;
    return header_bytes_ > kMaximumHeaderBytes ? -1 : 0;
  }
  void onMessageComplete();
  void resetParser();
  void fail(const std::string& error);
  void succeed();
  void end(const UpstreamResult& result);

  std::shared_ptr<UpstreamPool> client_;
  const Address address_;
  asio::ip::tcp::socket socket_;
  base::Timer timer_;
  base::Duration idle_timeout_{};

  ExchangeId id_;
  UpstreamRequest request_;
  UpstreamEvents events_;
  std::string output_;
  std::array<char, kUpstreamReadBytes> buffer_{};
  http_parser parser_{};
  HeaderCollector fields_;
  std::size_t header_bytes_ = 0;
  bool connected_ = false;
  bool reading_ = false;
  bool busy_ = false;
  bool m_paused = false;  ///< nothing more of the answer is to be read now
  bool sent_any_ = false;
  bool written_ = false;
  bool head_seen_ = false;
  bool foreign_ = false;  ///< the answer being read belongs to another request
  bool keep_ = true;
  bool answered_ = false;  ///< the whole answer has been read
  bool closed_ = false;
};

}  // namespace tackpick::http
