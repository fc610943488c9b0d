#include "http/upstream_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <optional>

#include "http/message_syntax.h"
#include "http/status.h"

namespace tackpick::http {
namespace {

using namespace status;

constexpr int kMinFinalStatus = 200;
/// Result of http_parser callbacks that makes the parser fail.
constexpr int kRejected = -1;
/// Results of on_headers_complete that tell the parser whether a body follows.
constexpr int kBodyAsFramed = 0;
constexpr int kNoBody = 1;

/// Returns the `timeout` of the Keep-Alive header in seconds; std::nullopt if there is none.
std::optional<int> keepAliveSeconds(const HeaderList& headers) {
  const std::string value = headers.value("Keep-Alive");
  constexpr std::string_view kKey = "timeout=";
  const std::size_t at = value.find(kKey);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = value.data() + at + kKey.size();
  const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
  return parsed.ec == std::errc() ? std::optional(seconds) : std::nullopt;
}

}  // namespace

const std::string& bodyOf(const UpstreamRequest& request) {
  return request.sharedBody ? *request.sharedBody : request.body;
}

std::string serializeHead(const UpstreamRequest& request) {
  if (!isValidTarget(request.target)) {
    return {};
  }
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const HeaderField& field : request.headers.fields()) {
    if (!isValidHeaderField(field.name, field.value)) {
      continue;
    }
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  const std::size_t bodyBytes = bodyOf(request).size();
  if (bodyBytes > 0 || request.method == "POST" || request.method == "PUT") {
    out += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  }
  out += "\r\n";
  return out;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::acquireIdle(const Address& address) {
  const auto found = idle.find(address);
  while (found != idle.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->isOpen()) {
      return connection;
    }
  }
  return nullptr;
}

void UpstreamPool::releaseIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  auto& idleConnections = idle[connection->address()];
  if (stopped || idleConnections.size() >= settings.maxIdlePerAddress) {
    connection->close();
    return;
  }
  idleConnections.push_back(connection);
  connection->startIdleTimer();
}

void UpstreamPool::removeIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  const auto found = idle.find(connection->address());
  if (found != idle.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle.erase(found);
    }
  }
}

void UpstreamPool::makeRoomForConnection() {
  const auto addIdle = [](std::size_t count, const auto& entry) {
    return count + entry.second.size();
  };
  const std::size_t open = std::accumulate(idle.begin(), idle.end(), active.size(), addIdle);
  const auto found = std::find_if(idle.begin(), idle.end(),
                                  [](const auto& entry) { return !entry.second.empty(); });
  if (open < settings.maxConnections || found == idle.end()) {
    return;
  }
  const auto connection = found->second.front();
  removeIdle(connection);
  connection->close();
}

const http_parser_settings& UpstreamConnection::parserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      fromParser(parser).m_headerCollector.onName(at, length);
      return fromParser(parser).countHeaderBytes(length);
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      fromParser(parser).m_headerCollector.onValue(at, length);
      return fromParser(parser).countHeaderBytes(length);
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return fromParser(parser).onHeadersComplete();
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      return fromParser(parser).onBody({at, length});
    };
    settings.on_message_complete = [](http_parser* parser) {
      const int result = fromParser(parser).onMessageComplete();
      if (result == 0) {
        http_parser_pause(parser, 1);
      }
      return result;
    };
    return settings;
  }();
  return kSettings;
}

int UpstreamConnection::onBody(std::string_view data) {
  if (m_mismatched || !m_inExchange) {
    return 0;
  }
  m_bodyBytes += data.size();
  if (m_bodyBytes > request_.maxBodyBytes) {
    return -1;
  }
  if (events_.onData) {
    events_.onData(data);
  }
  return 0;
}

void UpstreamConnection::resetParser() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  m_headerCollector = {};
  m_mismatched = false;
  m_statusLineStart.clear();
  m_syntax = {};
}

void UpstreamConnection::connect() {
  ++m_pool->counters.connectionsOpened;
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.host, error),
                                         address_.port);
  timer_.expires_after(m_pool->settings.connectTimeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& failed) {
    if (!failed && !self->connected_) {
      self->fail("connect timed out");
    }
  });
  socket_.async_connect(endpoint, [self = shared_from_this()](const asio::error_code& failed) {
    if (self->closed_) {
      return;
    }
    self->timer_.cancel();
    if (failed) {
      self->fail("connect: " + failed.message());
      return;
    }
    self->connected_ = true;
    self->setSocketOptions();
    self->send();
  });
}

void UpstreamConnection::setSocketOptions() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // The kernel delivers the bytes of a closed connection for as long as it can. With a linger time
  // of zero it discards them, even if this process is killed.
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  const base::Duration timeout = m_pool->settings.unacknowledgedTimeout;
  if (timeout > base::Duration{0}) {
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    socket_.set_option(UserTimeout(static_cast<int>(milliseconds.count())), ignored);
  }
}

void UpstreamConnection::startResponseTimer() {
  if (request_.timeout <= base::Duration{0}) {
    return;
  }
  timer_.expires_after(request_.timeout);
  timer_.async_wait([self = shared_from_this(), id = id_](const asio::error_code& error) {
    if (!error && !self->closed_ && self->id_ == id) {
      self->fail("response timed out");
    }
  });
}

void UpstreamConnection::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  asio::error_code ignored;
  if (m_exchangeComplete) {
    socket_.set_option(asio::socket_base::linger(false, 0), ignored);
  }
  socket_.close(ignored);
}

void UpstreamConnection::send() {
  const bool permitted = !request_.maySend || request_.maySend();
  if (permitted && !m_head.empty()) {
    startResponseTimer();
    write();
    return;
  }
  const std::string error =
      permitted ? "the request target is invalid" : "sending is no longer permitted";
  // Posted because start() must not call the callbacks.
  asio::post(m_pool->context, [self = shared_from_this(), id = id_, error] {
    if (!self->closed_ && self->id_ == id) {
      self->fail(error);
    }
  });
}

void UpstreamConnection::write() {
  m_sentAt = base::BootClock::now();
  const std::array<asio::const_buffer, 2> output = {asio::buffer(m_head),
                                                    asio::buffer(bodyOf(request_))};
  asio::async_write(
      socket_, output,
      [self = shared_from_this(), id = id_](const asio::error_code& error, std::size_t) {
        if (self->closed_ || self->id_ != id) {
          return;
        }
        self->onWriteEnded(error);
      });
  read();
}

void UpstreamConnection::onWriteEnded(const asio::error_code& error) {
  m_writeState = error ? WriteState::kFailed : WriteState::kWritten;
  // A failed write does not end the exchange: a response may have been received already. If one is
  // complete here, the end of the stream has completed it.
  if (!m_responseComplete) {
    return;
  }
  if (error) {
    fail("the connection was reset: " + error.message());
  } else {
    succeed();
  }
}

void UpstreamConnection::read() {
  if (reading_ || closed_ || m_paused) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->onReadError(error);
        } else {
          self->onBytes(count);
        }
      });
}

void UpstreamConnection::onReadError(const asio::error_code& error) {
  if (!m_inExchange) {
    m_pool->removeIdle(shared_from_this());
    close();
    return;
  }
  if (error == asio::error::eof && m_headersReceived && !m_mismatched) {
    onEndOfStream();
    return;
  }
  fail(error.message());
}

void UpstreamConnection::onEndOfStream() {
  m_reusable = false;
  http_parser_execute(&parser_, &parserSettings(), nullptr, 0);
  // The socket tells its error only once. If a write has failed with it, a reset also looks like
  // the end of the stream here.
  if (!m_responseComplete || m_writeState == WriteState::kFailed) {
    fail("the connection ended before the response");
  } else if (m_writeState == WriteState::kWritten) {
    succeed();
  }
  // Otherwise onWriteEnded() decides: the server may still read the rest of the request.
}

void UpstreamConnection::onBytes(std::size_t count) {
  if (!m_inExchange || m_responseComplete) {
    // Bytes after a complete response do not belong to any request.
    ++m_pool->counters.mismatchedResponses;
    m_reusable = false;
    if (!m_inExchange) {
      m_pool->removeIdle(shared_from_this());
      close();
    } else {
      read();
    }
    return;
  }
  std::size_t offset = 0;
  while (offset < count && !m_responseComplete && !closed_) {
    const auto parsed = parse(m_syntax.nextPart({buffer_.data() + offset, count - offset}));
    if (closed_) {
      return;
    }
    if (!parsed) {
      const http_errno error = HTTP_PARSER_ERRNO(&parser_);
      fail(std::string("malformed response: ") +
               (error == HPE_OK ? "invalid syntax" : http_errno_description(error)),
           true);
      return;
    }
    offset += *parsed;
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED && !m_responseComplete) {
      resetParser();  // the response was interim or belongs to another request
    }
  }
  if (closed_) {
    return;
  }
  if (m_responseComplete) {
    if (offset < count) {
      ++m_pool->counters.mismatchedResponses;
      m_reusable = false;
    }
    succeed();
    return;
  }
  read();
}

std::optional<std::size_t> UpstreamConnection::parse(std::string_view part) {
  if (m_statusLineStart.size() < kStatusLineBytes) {
    m_statusLineStart.append(part.substr(0, kStatusLineBytes - m_statusLineStart.size()));
    const bool known = m_statusLineStart.size() == kStatusLineBytes;
    if (known && !isValidStatusLine(m_statusLineStart)) {
      return std::nullopt;
    }
  }
  if (!m_syntax.accept(part)) {
    return std::nullopt;
  }
  const std::size_t parsed =
      http_parser_execute(&parser_, &parserSettings(), part.data(), part.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  const bool valid = (error == HPE_OK || error == HPE_PAUSED) && parser_.upgrade == 0;
  return valid ? std::optional(parsed) : std::nullopt;
}

int UpstreamConnection::onHeadersComplete() {
  const HeaderList headers = m_headerCollector.take();
  m_syntax.onHeadComplete((parser_.flags & F_CHUNKED) != 0);
  if (!hasValidFields(headers) || !hasValidTransferEncoding(headers) ||
      countHeaderBytes(kStatusLineBytes) != 0) {
    return kRejected;
  }
  if (parser_.status_code < kMinFinalStatus) {
    return kNoBody;
  }
  if (!request_.echoHeader.empty()) {
    const std::string echoed = headers.value(request_.echoHeader);
    m_mismatched = !echoed.empty() && echoed != request_.echoValue;
  }
  const bool bodyAllowed = request_.method != "HEAD" && parser_.status_code != kNoContent &&
                           parser_.status_code != kNotModified;
  if (m_mismatched) {
    ++m_pool->counters.mismatchedResponses;
    return bodyAllowed ? kBodyAsFramed : kNoBody;
  }
  m_headersReceived = true;
  m_reusable = m_reusable && http_should_keep_alive(&parser_) != 0;
  constexpr int kIdleTimeoutDenominator = 5;
  constexpr int kIdleTimeoutNumerator = 4;
  const auto serverTimeout = keepAliveSeconds(headers);
  idle_timeout_ = m_pool->settings.idleTimeout;
  if (serverTimeout) {
    idle_timeout_ = std::min<base::Duration>(
        idle_timeout_,
        base::seconds(*serverTimeout) * kIdleTimeoutNumerator / kIdleTimeoutDenominator);
  }
  if (events_.onHead) {
    events_.onHead(parser_.status_code, headers);
  }
  return bodyAllowed ? kBodyAsFramed : kNoBody;
}

int UpstreamConnection::onMessageComplete() {
  if (!hasValidFields(m_headerCollector.take())) {
    return kRejected;
  }
  if (!m_mismatched && parser_.status_code >= kMinFinalStatus) {
    m_responseComplete = true;
  }
  return 0;
}

void UpstreamConnection::succeed() {
  if (!m_inExchange) {
    return;
  }
  // If the server responds before it has read the complete request, it may read the rest later, so
  // the connection cannot be reused.
  m_exchangeComplete = m_writeState == WriteState::kWritten;
  const bool reusable = m_reusable && m_exchangeComplete && !closed_;
  UpstreamResult result;
  result.complete = true;
  result.verdict = base::Verdict::kRan;
  result.responseStarted = true;
  result.sentAt = m_sentAt;
  if (reusable) {
    UpstreamEvents events = std::exchange(events_, {});
    m_pool->active.erase(id_);
    m_pool->releaseIdle(shared_from_this());
    read();
    if (events.onEnd) {
      events.onEnd(result);
    }
    return;
  }
  end(result);
}

void UpstreamConnection::fail(const std::string& error, bool malformed) {
  if (!m_inExchange) {
    return;
  }
  UpstreamResult result;
  result.verdict = m_sentAt ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun;
  result.sentAt = m_sentAt;
  result.responseStarted = m_headersReceived;
  result.malformed = malformed;
  result.error = error;
  end(result);
}

void UpstreamConnection::end(const UpstreamResult& result) {
  m_inExchange = false;
  close();
  m_pool->active.erase(id_);
  const UpstreamEvents events = std::exchange(events_, {});
  if (events.onEnd) {
    events.onEnd(result);
  }
}

}  // namespace tackpick::http
