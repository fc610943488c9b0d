#include "http/server_connection.h"

#include <algorithm>

#include "http/status.h"

namespace tackpick::http {
namespace {

/// What a client may send ahead while its request is handled.
constexpr std::size_t kReadAheadBytes = 64U << 10U;
using namespace status;

constexpr int kFirstStatusWithBody = 200;

base::TimePoint steadyNow() { return base::MonotonicTimeSource().now(); }

std::string statusLine(int status) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line += reasonPhrase(status);
  line += "\r\n";
  return line;
}

void appendFields(std::string& out, const HeaderList& headers) {
  for (const HeaderField& field : headers.fields()) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

}  // namespace

std::string_view reasonPhrase(int status) {
  switch (status) {
#define TACKPICK_REASON(number, name, phrase) \
  case number:                                \
    return #phrase;
    HTTP_STATUS_MAP(TACKPICK_REASON)
#undef TACKPICK_REASON
    default:
      return "Status";
  }
}

namespace {

class ExchangeOnConnection final : public Exchange {
 public:
  ExchangeOnConnection(std::shared_ptr<ServerConnection> connection, std::uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ExchangeOnConnection(const ExchangeOnConnection&) = delete;
  ExchangeOnConnection& operator=(const ExchangeOnConnection&) = delete;
  ~ExchangeOnConnection() override {
    if (live()) {
      connection_->abortNow();  // nobody is left to answer
    }
  }

  void respond(int status, const HeaderList& headers, std::string_view body) override {
    if (live()) {
      connection_->respond(status, headers, body);
    }
  }
  void begin(int status, const HeaderList& headers) override {
    if (live()) {
      connection_->beginAnswer(status, headers);
    }
  }
  void write(std::string_view data) override {
    if (live() && !data.empty()) {
      connection_->writePiece(data);
    }
  }
  void finish() override {
    if (live()) {
      connection_->finishAnswer();
    }
  }
  void abort() override {
    if (live()) {
      connection_->abortNow();
    }
  }
  void onClosed(std::function<void()> callback) override {
    if (live()) {
      connection_->setOnClosed(std::move(callback));
    }
  }
  void onDrained(std::function<void()> callback) override {
    if (live()) {
      connection_->setOnDrained(std::move(callback));
    }
  }
  [[nodiscard]] std::size_t unsentBytes() const override { return connection_->unsentBytes(); }

 private:
  [[nodiscard]] bool live() const { return connection_->isCurrent(number_); }

  std::shared_ptr<ServerConnection> connection_;
  std::uint64_t number_;
};

}  // namespace

const http_parser_settings& ServerConnection::parserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      ServerConnection& self = of(parser);
      self.request_.target.append(at, length);
      return self.countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      of(parser).fields_.onName(at, length);
      return of(parser).countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      of(parser).fields_.onValue(at, length);
      return of(parser).countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return of(parser).onHeadersComplete();
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      ServerConnection& self = of(parser);
      if (self.request_.body.size() + length > self.shared_->limits.bodyBytes) {
        self.refusal_ = kPayloadTooLarge;
        return -1;
      }
      self.request_.body.append(at, length);
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }();
  return kSettings;
}

bool ServerConnection::countHeaderBytes(std::size_t count) {
  constexpr std::size_t kSeparators = 4;
  if (parser_.flags & F_TRAILING) {
    return true;
  }
  header_bytes_ += count + kSeparators;
  if (header_bytes_ > shared_->limits.headerBytes) {
    refusal_ = kHeaderFieldsTooLarge;
    return false;
  }
  return true;
}

int ServerConnection::onHeadersComplete() {
  request_.headers = fields_.take();
  parser_.upgrade = 0;  // offers to change the protocol are not taken
  const bool lengthKnown = parser_.content_length != static_cast<std::uint64_t>(-1);
  if (lengthKnown && parser_.content_length > shared_->limits.bodyBytes) {
    refusal_ = kPayloadTooLarge;
    return -1;
  }
  if (request_.headers.has("expect")) {
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  armTimer(shared_->limits.bodyTimeout);
  return 0;
}

void ServerConnection::read() {
  if (reading_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const asio::error_code& error) {
                       self->reading_ = false;
                       if (error) {
                         self->close();
                         return;
                       }
                       self->onReadable();
                     });
}

void ServerConnection::onReadable() {
  if (closed_) {
    return;
  }
  asio::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(shared_->readBuffer), error);
  if (error && error != asio::error::would_block) {
    close();
    return;
  }
  pending_.append(shared_->readBuffer.data(), count);
  parsePending();
  // While a request is handled, reading goes on only to notice that the client hangs up.
  if (!closed_ && !close_after_write_ && pending_.size() < kReadAheadBytes) {
    read();
  }
}

void ServerConnection::parsePending() {
  if (handling_ || closed_ || close_after_write_ || pending_.empty()) {
    return;
  }
  if (unsent_ > shared_->limits.unsentBytes) {
    return;  // until the client has read the answers before
  }
  if (!request_begun_) {
    request_begun_ = true;
    armTimer(shared_->limits.headerTimeout);
  }
  const std::size_t parsed =
      http_parser_execute(&parser_, &parserSettings(), pending_.data(), pending_.size());
  if (closed_) {
    return;  // cut for what it left unread, when more was handed over to it
  }
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    pending_.erase(0, parsed);
    dispatch();
    return;
  }
  if (error != HPE_OK) {
    refuse(refusal_ != 0 ? refusal_ : kBadRequest);
    return;
  }
  pending_.erase(0, parsed);
}

void ServerConnection::dispatch() {
  timer_.cancel();
  handling_ = true;
  request_begun_ = false;
  answer_begun_ = false;
  ++exchange_number_;
  ++shared_->openExchanges;
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  request_.receivedAt = steadyNow();
  head_request_ = parser_.method == HTTP_HEAD;
  http10_ = parser_.http_major == 1 && parser_.http_minor == 0;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  http_parser_init(&parser_, HTTP_REQUEST);
  header_bytes_ = 0;
  RawRequest request = std::exchange(request_, {});
  shared_->handler(std::move(request),
                   std::make_shared<ExchangeOnConnection>(shared_from_this(), exchange_number_));
}

void ServerConnection::refuse(int status) {
  std::string answer = statusLine(status) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
  close_after_write_ = true;
  enqueue(std::move(answer));
}

bool ServerConnection::bodyAllowed(int status) const {
  return !head_request_ && status >= kFirstStatusWithBody && status != kNoContent &&
         status != kNotModified;
}

void ServerConnection::appendConnectionFields(std::string& out) const {
  if (!keep_alive_) {
    out += "Connection: close\r\n";
  } else if (http10_) {
    out += "Connection: keep-alive\r\n";
  }
}

void ServerConnection::respond(int status, const HeaderList& headers, std::string_view body) {
  if (answer_begun_) {
    abortNow();
    return;
  }
  keep_alive_ = keep_alive_ && !shared_->draining;
  std::string out = statusLine(status);
  appendFields(out, headers);
  appendConnectionFields(out);
  if (status >= kFirstStatusWithBody && status != kNoContent) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  out += "\r\n";
  if (bodyAllowed(status)) {
    out += body;
  }
  enqueue(std::move(out));
  endExchange();
}

void ServerConnection::beginAnswer(int status, const HeaderList& headers) {
  answer_begun_ = true;
  chunked_ = !http10_ && bodyAllowed(status);
  keep_alive_ = keep_alive_ && !shared_->draining && !http10_;
  std::string out = statusLine(status);
  appendFields(out, headers);
  appendConnectionFields(out);
  if (chunked_) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  out += "\r\n";
  enqueue(std::move(out));
}

void ServerConnection::writePiece(std::string_view data) {
  if (unsent_ > shared_->limits.unsentBytes) {
    cutUnread();
    return;
  }
  if (!chunked_) {
    enqueue(std::string(data));
    return;
  }
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string out(size.data(), static_cast<std::size_t>(digits));
  out += data;
  out += "\r\n";
  enqueue(std::move(out));
}

void ServerConnection::finishAnswer() {
  if (chunked_) {
    enqueue("0\r\n\r\n");
  }
  endExchange();
}

void ServerConnection::endExchange() {
  if (closed_) {
    return;  // cut while its answer was handed over
  }
  handling_ = false;
  chunked_ = false;
  --shared_->openExchanges;
  on_closed_ = nullptr;
  m_onDrained = nullptr;
  if (!keep_alive_ || shared_->draining) {
    close_after_write_ = true;
    if (!writing_) {
      close();
    }
    return;
  }
  armTimer(shared_->limits.idleTimeout);
  // Posted: the handler that answered may still be on the stack.
  asio::post(shared_->context, [self = shared_from_this()] {
    self->parsePending();
    self->read();
  });
}

void ServerConnection::enqueue(std::string bytes) {
  if (closed_) {
    return;
  }
  unsent_ += bytes.size();
  shared_->unread.bytes += bytes.size();
  output_.push_back(std::move(bytes));
  if (!writing_) {
    writeNext();
  }
  makeRoom();
}

void ServerConnection::makeRoom() {
  while (shared_->unread.bytes > shared_->limits.totalUnsentBytes) {
    const base::TimePoint now = steadyNow();
    const auto slowest = std::max_element(shared_->connections.begin(), shared_->connections.end(),
                                          [now](const auto& left, const auto& right) {
                                            return left->stalledFor(now) < right->stalledFor(now);
                                          });
    const bool found = slowest != shared_->connections.end() &&
                       (*slowest)->stalledFor(now) >= shared_->limits.stallTime;
    if (!found) {
      return;
    }
    (*slowest)->shared_from_this()->cutUnread();
  }
}

void ServerConnection::cutUnread() {
  ++shared_->unread.disconnectCount;
  abortNow();
}

void ServerConnection::subtractUnsent(std::size_t bytes) {
  const std::size_t known = std::min(unsent_, bytes);
  unsent_ -= known;
  shared_->unread.bytes -= known;
}

void ServerConnection::onDrained() {
  if (m_onDrained) {
    asio::post(shared_->context, m_onDrained);
  }
  // Requests may have waited for it.
  parsePending();
  if (pending_.size() < kReadAheadBytes) {
    read();
  }
}

void ServerConnection::writeNext() {
  if (output_.empty()) {
    writing_ = false;
    if (close_after_write_) {
      close();
    } else {
      onDrained();
    }
    return;
  }
  writing_ = true;
  m_writingSince = steadyNow();
  in_flight_.clear();
  for (const std::string& bytes : output_) {
    in_flight_ += bytes;
  }
  output_.clear();
  asio::async_write(socket_, asio::buffer(in_flight_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (error) {
                        self->writing_ = false;
                        self->close();
                        return;
                      }
                      self->subtractUnsent(self->in_flight_.size());
                      self->writeNext();
                    });
}

void ServerConnection::armTimer(base::Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_ || self->handling_) {
      return;
    }
    if (self->request_begun_ && !self->close_after_write_) {
      self->refuse(kRequestTimeout);
      self->armTimer(self->shared_->limits.writeTimeout);
    } else {
      self->close();
    }
  });
}

void ServerConnection::abortNow() {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  m_aborted = true;
  close();
}

void ServerConnection::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  subtractUnsent(unsent_);
  m_onDrained = nullptr;
  asio::error_code ignored;
  timer_.cancel();
  if (!handling_ && !m_aborted) {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  socket_.close(ignored);
  if (handling_) {
    handling_ = false;
    --shared_->openExchanges;
  }
  shared_->connections.erase(shared_from_this());
  if (on_closed_) {
    asio::post(shared_->context, std::exchange(on_closed_, nullptr));
  }
}

}  // namespace tackpick::http
