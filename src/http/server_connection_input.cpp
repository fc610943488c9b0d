/// \file
/// Reading and parsing of requests by ServerConnection, and the memory that they hold meanwhile.
#include <algorithm>

#include "base/release_memory.h"
#include "http/message_syntax.h"
#include "http/server_connection.h"
#include "http/status.h"

namespace tackpick::http {
namespace {

using namespace status;

/// Maximum number of bytes kept for later requests while one is handled.
constexpr std::size_t kReadAheadBytes = 16U << 10U;
/// Maximum size of a short body. Longer ones are received only with memory reserved for them.
constexpr std::size_t kShortBodyBytes = 64U << 10U;
/// Number of copies of a head that exist while its request is handled.
constexpr std::size_t kHeadCopies = 3;
/// Memory of a handled request beside its head and body, mostly the buffers of its connections.
constexpr std::size_t kHandlingBytes = 40U << 10U;

base::TimePoint monotonicNow() { return base::MonotonicTimeSource().now(); }

}  // namespace

const http_parser_settings& ServerConnection::parserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      ServerConnection& self = fromParser(parser);
      self.request_.target.append(at, length);
      return self.countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      if ((parser->flags & F_TRAILING) != 0) {
        return 0;
      }
      fromParser(parser).m_headerCollector.onName(at, length);
      return fromParser(parser).countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      if ((parser->flags & F_TRAILING) != 0) {
        return 0;
      }
      fromParser(parser).m_headerCollector.onValue(at, length);
      return fromParser(parser).countHeaderBytes(length) ? 0 : -1;
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return fromParser(parser).onHeadersComplete();
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      return fromParser(parser).onBody({at, length});
    };
    settings.on_message_complete = [](http_parser* parser) {
      fromParser(parser).m_requestComplete = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }();
  return kSettings;
}

bool ServerConnection::countHeaderBytes(std::size_t count) {
  constexpr std::size_t kSeparatorBytes = 4;
  m_headerBytes += count + kSeparatorBytes;
  if (m_headerBytes > m_serverState->limits.maxHeaderBytes) {
    m_rejectStatus = kHeaderFieldsTooLarge;
    return false;
  }
  return true;
}

int ServerConnection::onHeadersComplete() {
  m_headMemory = m_headerCollector.memoryBytes() + request_.target.size();
  request_.headers = m_headerCollector.take();
  m_syntax.onHeadComplete((parser_.flags & F_CHUNKED) != 0);
  parser_.upgrade = 0;  // protocol upgrades are not supported
  if (!hasValidFields(request_.headers) || !hasValidTransferEncoding(request_.headers)) {
    m_rejectStatus = kBadRequest;
    return -1;
  }
  const bool lengthKnown = parser_.content_length != static_cast<std::uint64_t>(-1);
  const std::uint64_t length = lengthKnown ? parser_.content_length : 0;
  if (length > m_serverState->limits.maxBodyBytes || length > m_serverState->maxLongBodyBytes()) {
    m_rejectStatus = kPayloadTooLarge;
    return -1;
  }
  if (length > kShortBodyBytes && !growBody(length)) {
    return -1;
  }
  if (request_.headers.has("expect")) {
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  armTimer(m_serverState->limits.bodyTimeout);
  return closed_ ? -1 : 0;
}

int ServerConnection::onBody(std::string_view data) {
  const std::size_t size = request_.body.size() + data.size();
  if (size > m_serverState->limits.maxBodyBytes) {
    m_rejectStatus = kPayloadTooLarge;
    return -1;
  }
  if (size > kShortBodyBytes && size > request_.body.capacity()) {
    // Growing by half instead of doubling limits the memory that a body reserves and does not use.
    const std::size_t grown = request_.body.capacity() + request_.body.capacity() / 2;
    if (!growBody(std::min(std::max(size, grown), m_serverState->limits.maxBodyBytes))) {
      return -1;
    }
  }
  request_.body.append(data);
  return 0;
}

bool ServerConnection::growBody(std::size_t size) {
  if (size > m_serverState->maxLongBodyBytes()) {
    m_rejectStatus = kPayloadTooLarge;
    return false;
  }
  if (!reserveLongBody(size)) {
    m_serverState->countShed(ShedReason::kNoMemory);
    m_rejectStatus = kUnavailable;
    return false;
  }
  // std::string::reserve() may double the capacity of a string that is not empty.
  std::string body;
  body.reserve(size);
  body.append(request_.body);
  request_.body.swap(body);
  return true;
}

bool ServerConnection::reserveLongBody(std::size_t bytes) {
  const base::TimePoint now = monotonicNow();
  while (!m_requestMemory.tryResize(bytes, m_serverState->spareForShortRequests())) {
    if (!m_serverState->giveUpSlowestBody(*this, now)) {
      return false;
    }
  }
  if (!m_receivingLongBody) {
    m_receivingLongBody = true;
    m_bodyStartedAt = now;
    m_bodyProgressAt = now;
    m_serverState->longBodies.insert(this);
  }
  return true;
}

void ServerConnection::stopReceivingBody() {
  if (m_receivingLongBody) {
    m_receivingLongBody = false;
    m_serverState->longBodies.erase(this);
  }
}

std::optional<double> ServerConnection::insufficientRate(base::TimePoint now) const {
  const ExchangeLimits& limits = m_serverState->limits;
  const base::Duration elapsed = now - m_bodyStartedAt;
  if (!m_receivingLongBody || elapsed < limits.minStallTime) {
    return std::nullopt;
  }
  const double rate = static_cast<double>(request_.body.size()) / base::toSeconds(elapsed);
  const double requiredRate =
      static_cast<double>(m_requestMemory.bytes()) / base::toSeconds(limits.bodyTimeout);
  const bool stalled = now - m_bodyProgressAt >= limits.minStallTime;
  return stalled || rate < requiredRate ? std::optional(rate) : std::nullopt;
}

void ServerConnection::giveUpBody() {
  m_serverState->countShed(ShedReason::kSlowBody);
  reject(kRequestTimeout);
}

void ServerConnection::read() {
  if (reading_ || !mayRead()) {
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

bool ServerConnection::mayRead() const {
  if (closed_ || m_discarding) {
    return !closed_;
  }
  if (close_after_write_ || m_inputBuffer.size() >= kReadAheadBytes) {
    return false;
  }
  // Bytes for later requests must leave room for the requests that other clients have begun.
  constexpr std::size_t kReadAheadDivisor = 2;
  const MemoryPool& memory = *m_serverState->unfinishedMemory;
  return !m_handlingRequest || memory.usedBytes() < memory.limitBytes() / kReadAheadDivisor;
}

void ServerConnection::onReadable() {
  if (closed_) {
    return;
  }
  asio::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(m_serverState->readBuffer), error);
  if (error && error != asio::error::would_block) {
    close();
    return;
  }
  if (m_discarding) {
    discardInput(count);
    return;
  }
  touch();
  if (m_receivingLongBody) {
    m_bodyProgressAt = monotonicNow();
  }
  onInput({m_serverState->readBuffer.data(), count});
  // Reading continues while a request is handled, to detect that the client disconnects.
  read();
}

void ServerConnection::onInput(std::string_view data) {
  if (m_inputBuffer.empty() && mayParse()) {
    // Parsing in place saves idle connections a buffer of their own.
    data.remove_prefix(parse(data));
    if (closed_ || close_after_write_) {
      return;
    }
    m_inputBuffer.assign(data);
    if (m_requestComplete) {
      dispatch();
    }
  } else {
    m_inputBuffer.append(data);
    parseInput();
  }
  accountUnfinished();
  m_serverState->enforceUnfinishedLimit();
}

bool ServerConnection::mayParse() const {
  // Parsing resumes when the client has read the earlier responses.
  return !m_handlingRequest && !closed_ && !close_after_write_ &&
         m_unsentBytes <= m_serverState->limits.maxUnsentBytes;
}

void ServerConnection::parseInput() {
  if (m_inputBuffer.empty() || !mayParse()) {
    return;
  }
  const std::size_t parsed = parse(m_inputBuffer);
  if (closed_ || close_after_write_) {
    return;
  }
  if (parsed == m_inputBuffer.size()) {
    base::releaseMemory(m_inputBuffer);
  } else {
    m_inputBuffer.erase(0, parsed);
  }
  accountUnfinished();
  if (m_requestComplete) {
    dispatch();
  }
}

std::size_t ServerConnection::parse(std::string_view data) {
  if (data.empty()) {
    return 0;
  }
  if (!m_requestStarted) {
    m_requestStarted = true;
    armTimer(m_serverState->limits.headerTimeout);
  }
  std::size_t parsed = 0;
  while (parsed < data.size() && !m_requestComplete && !closed_ && !close_after_write_) {
    parsed += parsePart(m_syntax.nextPart(data.substr(parsed)));
  }
  return parsed;
}

std::size_t ServerConnection::parsePart(std::string_view part) {
  if (!m_syntax.accept(part)) {
    reject(kBadRequest);
    return 0;
  }
  const std::size_t parsed =
      http_parser_execute(&parser_, &parserSettings(), part.data(), part.size());
  if (closed_) {
    return parsed;  // a parser callback queued data and exceeded the limit of unsent bytes
  }
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
  } else if (error != HPE_OK) {
    reject(m_rejectStatus != 0 ? m_rejectStatus : kBadRequest);
  }
  return parsed;
}

void ServerConnection::dispatch() {
  timer_.cancel();
  stopReceivingBody();
  m_requestComplete = false;
  m_requestStarted = false;
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  request_.receivedAt = monotonicNow();
  head_request_ = parser_.method == HTTP_HEAD;
  http10_ = parser_.http_major == 1 && parser_.http_minor == 0;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  http_parser_init(&parser_, HTTP_REQUEST);
  m_headerBytes = 0;
  m_syntax = {};
  const std::size_t headMemory = std::exchange(m_headMemory, 0);
  const std::size_t memory = request_.body.capacity() + kHeadCopies * headMemory + kHandlingBytes;
  if (!m_requestMemory.tryResize(memory)) {
    m_serverState->countShed(ShedReason::kNoMemory);
    reject(kUnavailable);
    return;
  }
  stopBeingSilent();
  m_handlingRequest = true;
  m_responseStarted = false;
  ++m_exchangeNumber;
  ++m_serverState->openExchanges;
  RawRequest request = std::exchange(request_, {});
  m_serverState->handler(std::move(request), makeExchange());
}

void ServerConnection::accountUnfinished() {
  if (closed_) {
    return;
  }
  std::size_t bytes = m_inputBuffer.empty() ? 0 : m_inputBuffer.capacity();
  if (m_requestStarted) {
    bytes += m_headerBytes + m_headMemory + m_headerCollector.memoryBytes();
    bytes += m_receivingLongBody ? 0 : request_.body.capacity();
  }
  m_unfinishedMemory.resize(bytes);
}

void ServerConnection::beginDiscarding() {
  m_discardAfterWrite = false;
  m_discarding = true;
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  armTimer(m_serverState->limits.maxDiscardTime);
  touch();
  read();
}

void ServerConnection::discardInput(std::size_t count) {
  m_discardedBytes += count;
  if (m_discardedBytes > m_serverState->limits.maxDiscardBytes) {
    close();
    return;
  }
  touch();
  read();
}

void ServerConnection::touch() {
  if (closed_ || m_handlingRequest) {
    return;
  }
  std::list<ServerConnection*>& silent = m_serverState->silent;
  if (m_silentPosition) {
    silent.splice(silent.end(), silent, *m_silentPosition);
  } else {
    m_silentPosition = silent.insert(silent.end(), this);
  }
}

void ServerConnection::stopBeingSilent() {
  if (m_silentPosition) {
    m_serverState->silent.erase(*m_silentPosition);
    m_silentPosition.reset();
  }
}

}  // namespace tackpick::http
