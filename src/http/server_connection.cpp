#include "http/server_connection.h"

#include <algorithm>

#include "base/release_memory.h"
#include "http/status.h"

namespace tackpick::http {
namespace {

using namespace status;

constexpr int kMinFinalStatus = 200;
/// Value of Retry-After when there is no memory for a request. A long body that makes no progress
/// can be given up within this time.
constexpr const char* kRetryAfterSeconds = "1";

base::TimePoint monotonicNow() { return base::MonotonicTimeSource().now(); }

std::string statusLine(int status) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line += reasonPhrase(status);
  line += "\r\n";
  return line;
}

void appendHeaders(std::string& out, const HeaderList& headers) {
  for (const HeaderField& field : headers.fields()) {
    if (!isValidHeaderField(field.name, field.value)) {
      continue;
    }
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

class ConnectionExchange final : public Exchange {
 public:
  ConnectionExchange(std::shared_ptr<ServerConnection> connection, std::uint64_t number,
                     MemoryReservation memory)
      : connection_(std::move(connection)), number_(number), m_memory(std::move(memory)) {}
  ConnectionExchange(const ConnectionExchange&) = delete;
  ConnectionExchange& operator=(const ConnectionExchange&) = delete;
  ~ConnectionExchange() override {
    if (isActive()) {
      connection_->resetConnection();  // no response can be sent any more
    }
  }

  void respond(int status, const HeaderList& headers, std::string_view body) override {
    if (isActive()) {
      connection_->respond(status, headers, body);
    }
  }
  void begin(int status, const HeaderList& headers) override {
    if (isActive()) {
      connection_->beginResponse(status, headers);
    }
  }
  void write(std::string_view data) override {
    if (isActive() && !data.empty()) {
      connection_->writeChunk(data);
    }
  }
  void finish() override {
    if (isActive()) {
      connection_->finishResponse();
    }
  }
  void abort() override {
    if (isActive()) {
      connection_->resetConnection();
    }
  }
  void onClosed(std::function<void()> callback) override {
    if (isActive()) {
      connection_->setOnClosed(std::move(callback));
    }
  }
  void onDrained(std::function<void()> callback) override {
    if (isActive()) {
      connection_->setOnDrained(std::move(callback));
    }
  }
  [[nodiscard]] std::size_t unsentBytes() const override { return connection_->unsentBytes(); }
  [[nodiscard]] bool reserveMemory(std::size_t bytes) override {
    return m_memory.tryResize(m_memory.bytes() + bytes);
  }

 private:
  [[nodiscard]] bool isActive() const { return connection_->isCurrent(number_); }

  std::shared_ptr<ServerConnection> connection_;
  std::uint64_t number_;
  MemoryReservation m_memory;  ///< of the request and what is made of it
};

}  // namespace

std::shared_ptr<Exchange> ServerConnection::makeExchange() {
  MemoryReservation memory =
      std::exchange(m_requestMemory, MemoryReservation(m_serverState->requestMemory));
  return std::make_shared<ConnectionExchange>(shared_from_this(), m_exchangeNumber,
                                              std::move(memory));
}

void ServerConnection::releaseRequest() {
  stopReceivingBody();
  base::releaseMemory(request_.body);
  request_ = {};
  m_headerCollector = {};
  m_headerBytes = 0;
  m_headMemory = 0;
  base::releaseMemory(m_inputBuffer);
  m_requestMemory.resize(0);
}

void ServerConnection::reject(int status) {
  releaseRequest();
  accountUnfinished();
  std::string response = statusLine(status) + "Content-Length: 0\r\nConnection: close\r\n";
  if (status == kUnavailable) {
    response += std::string("Retry-After: ") + kRetryAfterSeconds + "\r\n";
  }
  response += "\r\n";
  close_after_write_ = true;
  m_discardAfterWrite = true;
  enqueue(std::move(response));
}

void ServerConnection::shed() {
  if (m_requestStarted && !close_after_write_) {
    asio::error_code ignored;
    const std::string response =
        statusLine(kRequestTimeout) + "Content-Length: 0\r\nConnection: close\r\n\r\n";
    socket_.write_some(asio::buffer(response), ignored);
  }
  close();
}

void ServerConnection::endRequest(int status) {
  if (!m_handlingRequest) {
    return;
  }
  if (m_responseStarted) {
    resetConnection();
    return;
  }
  std::function<void()> onClosed = std::exchange(on_closed_, nullptr);
  respond(status, {}, {});
  if (onClosed) {
    asio::post(m_serverState->context, std::move(onClosed));
  }
}

bool ServerConnection::bodyAllowed(int status) const {
  return !head_request_ && status >= kMinFinalStatus && status != kNoContent &&
         status != kNotModified;
}

void ServerConnection::appendConnectionHeader(std::string& out) const {
  if (!keep_alive_) {
    out += "Connection: close\r\n";
  } else if (http10_) {
    out += "Connection: keep-alive\r\n";
  }
}

void ServerConnection::respond(int status, const HeaderList& headers, std::string_view body) {
  if (m_responseStarted) {
    resetConnection();
    return;
  }
  keep_alive_ = keep_alive_ && !m_serverState->draining;
  std::string out = statusLine(status);
  appendHeaders(out, headers);
  appendConnectionHeader(out);
  if (status >= kMinFinalStatus && status != kNoContent) {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  out += "\r\n";
  if (bodyAllowed(status)) {
    out += body;
  }
  enqueue(std::move(out));
  endExchange();
}

void ServerConnection::beginResponse(int status, const HeaderList& headers) {
  m_responseStarted = true;
  chunked_ = !http10_ && bodyAllowed(status);
  keep_alive_ = keep_alive_ && !m_serverState->draining && !http10_;
  std::string out = statusLine(status);
  appendHeaders(out, headers);
  appendConnectionHeader(out);
  if (chunked_) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  out += "\r\n";
  enqueue(std::move(out));
}

void ServerConnection::writeChunk(std::string_view data) {
  if (m_unsentBytes > m_serverState->limits.maxUnsentBytes) {
    disconnectSlowReader();
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

void ServerConnection::finishResponse() {
  if (chunked_) {
    enqueue("0\r\n\r\n");
  }
  endExchange();
}

void ServerConnection::endExchange() {
  if (closed_) {
    return;  // the response exceeded the limit of unsent bytes
  }
  m_handlingRequest = false;
  chunked_ = false;
  --m_serverState->openExchanges;
  on_closed_ = nullptr;
  m_onDrained = nullptr;
  touch();
  if (!keep_alive_ || m_serverState->draining) {
    close_after_write_ = true;
    if (!writing_) {
      close();
    }
    return;
  }
  armTimer(m_serverState->limits.idleTimeout);
  // Posted because the handler that sent the response may still be on the call stack.
  asio::post(m_serverState->context, [self = shared_from_this()] {
    self->parseInput();
    self->read();
  });
}

void ServerConnection::enqueue(std::string bytes) {
  if (closed_) {
    return;
  }
  m_unsentBytes += bytes.size();
  m_serverState->unread.bytes += bytes.size();
  m_outputQueue.push_back(std::move(bytes));
  if (!writing_) {
    writeNext();
  }
  enforceUnsentLimit();
}

void ServerConnection::enforceUnsentLimit() {
  while (m_serverState->unread.bytes > m_serverState->limits.maxTotalUnsentBytes) {
    const base::TimePoint now = monotonicNow();
    const auto slowest =
        std::max_element(m_serverState->connections.begin(), m_serverState->connections.end(),
                         [now](const auto& left, const auto& right) {
                           return left->stallDuration(now) < right->stallDuration(now);
                         });
    const bool found = slowest != m_serverState->connections.end() &&
                       (*slowest)->stallDuration(now) >= m_serverState->limits.minStallTime;
    if (!found) {
      return;
    }
    (*slowest)->shared_from_this()->disconnectSlowReader();
  }
}

void ServerConnection::disconnectSlowReader() {
  ++m_serverState->unread.disconnectCount;
  resetConnection();
}

void ServerConnection::subtractUnsent(std::size_t bytes) {
  const std::size_t counted = std::min(m_unsentBytes, bytes);
  m_unsentBytes -= counted;
  m_serverState->unread.bytes -= counted;
}

void ServerConnection::onDrained() {
  if (m_onDrained) {
    asio::post(m_serverState->context, m_onDrained);
  }
  // Parses requests that were held back while too many bytes were unsent.
  parseInput();
  read();
}

void ServerConnection::writeNext() {
  if (m_outputQueue.empty()) {
    writing_ = false;
    if (m_discardAfterWrite) {
      beginDiscarding();
    } else if (close_after_write_) {
      close();
    } else {
      onDrained();
    }
    return;
  }
  writing_ = true;
  m_writeStartedAt = monotonicNow();
  m_writeBuffer.clear();
  for (const std::string& bytes : m_outputQueue) {
    m_writeBuffer += bytes;
  }
  m_outputQueue.clear();
  asio::async_write(socket_, asio::buffer(m_writeBuffer),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (error) {
                        self->writing_ = false;
                        self->close();
                        return;
                      }
                      self->subtractUnsent(self->m_writeBuffer.size());
                      self->writeNext();
                    });
}

void ServerConnection::armTimer(base::Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_ || self->m_handlingRequest) {
      return;
    }
    if (self->m_requestStarted && !self->close_after_write_) {
      self->reject(kRequestTimeout);
      self->armTimer(self->m_serverState->limits.writeTimeout);
    } else {
      self->close();
    }
  });
}

void ServerConnection::resetConnection() {
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
  stopBeingSilent();
  releaseRequest();
  m_unfinishedMemory.resize(0);
  subtractUnsent(m_unsentBytes);
  m_onDrained = nullptr;
  asio::error_code ignored;
  timer_.cancel();
  if (!m_handlingRequest && !m_aborted) {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  socket_.close(ignored);
  if (m_handlingRequest) {
    m_handlingRequest = false;
    --m_serverState->openExchanges;
  }
  m_serverState->connections.erase(shared_from_this());
  if (on_closed_) {
    asio::post(m_serverState->context, std::exchange(on_closed_, nullptr));
  }
}

}  // namespace tackpick::http
