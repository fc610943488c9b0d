#include "http/upstream_connection.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace tackpick::http {
namespace {

constexpr int kFirstFinalStatus = 200;

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

std::string requestBytes(const UpstreamRequest& request) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const HeaderField& field : request.headers.fields()) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  out += "\r\n";
  out += request.body;
  return out;
}

/// The `timeout` of a Keep-Alive header, in seconds.
std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(const Address& address) {
  const auto found = idle.find(address);
  while (found != idle.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->usable()) {
      return connection;
    }
  }
  return nullptr;
}

void UpstreamPool::keepIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  auto& kept = idle[connection->address()];
  if (stopped || kept.size() >= settings.idlePerAddress) {
    connection->close();
    return;
  }
  kept.push_back(connection);
  connection->waitIdle();
}

void UpstreamPool::forgetIdle(const std::shared_ptr<UpstreamConnection>& connection) {
  const auto found = idle.find(connection->address());
  if (found != idle.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle.erase(found);
    }
  }
}

const http_parser_settings& UpstreamConnection::parserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      of(parser).fields_.onName(at, length);
      return of(parser).countHeaderBytes(length);
    };
    settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      of(parser).fields_.onValue(at, length);
      return of(parser).countHeaderBytes(length);
    };
    settings.on_headers_complete = [](http_parser* parser) {
      return of(parser).onHeadersComplete();
    };
    settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      UpstreamConnection& self = of(parser);
      if (!self.foreign_ && self.busy_ && self.events_.onData) {
        self.events_.onData({at, length});
      }
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
      of(parser).onMessageComplete();
      http_parser_pause(parser, 1);
      return 0;
    };
    return settings;
  }();
  return kSettings;
}

void UpstreamConnection::resetParser() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  fields_ = {};
  header_bytes_ = 0;
  foreign_ = false;
}

void UpstreamConnection::connect() {
  ++client_->counters.connectionsOpened;
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.host, error),
                                         address_.port);
  timer_.expires_after(client_->settings.connectTimeout);
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
    asio::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->write();
  });
}

void UpstreamConnection::write() {
  sent_any_ = true;
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this(), id = id_](const asio::error_code& error, std::size_t) {
        if (self->closed_ || self->id_ != id) {
          return;
        }
        // A failed write is not the end: the answer may be there already.
        self->written_ = !error;
        if (self->answered_) {
          self->succeed();
        }
      });
  read();
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
  if (!busy_) {
    client_->forgetIdle(shared_from_this());
    close();
    return;
  }
  if (error == asio::error::eof && head_seen_ && !foreign_) {
    // An answer without a length ends with its connection, unless that is reset.
    keep_ = false;
    http_parser_execute(&parser_, &parserSettings(), nullptr, 0);
    if (answered_) {
      written_ = true;
      succeed();
      return;
    }
  }
  fail(error.message());
}

void UpstreamConnection::onBytes(std::size_t count) {
  if (!busy_ || answered_) {
    // Bytes after a complete answer belong to no request.
    ++client_->counters.mismatchedResponses;
    keep_ = false;
    if (!busy_) {
      client_->forgetIdle(shared_from_this());
      close();
    } else {
      read();
    }
    return;
  }
  std::size_t offset = 0;
  while (offset < count && !answered_ && !closed_) {
    const std::size_t parsed =
        http_parser_execute(&parser_, &parserSettings(), buffer_.data() + offset, count - offset);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (closed_) {
      return;
    }
    if (error == HPE_PAUSED) {
      offset += parsed;
      if (!answered_) {
        resetParser();  // it was an interim answer, or one to another request
      }
      continue;
    }
    if (error != HPE_OK || parser_.upgrade != 0) {
      fail(std::string("malformed answer: ") + http_errno_description(error));
      return;
    }
    offset += parsed;
  }
  if (closed_) {
    return;
  }
  if (answered_) {
    if (offset < count) {
      ++client_->counters.mismatchedResponses;
      keep_ = false;
    }
    succeed();
    return;
  }
  read();
}

int UpstreamConnection::onHeadersComplete() {
  const HeaderList headers = fields_.take();
  if (parser_.status_code < kFirstFinalStatus) {
    return 0;
  }
  if (!request_.echoHeader.empty()) {
    const std::string echoed = headers.value(request_.echoHeader);
    foreign_ = !echoed.empty() && echoed != request_.echoValue;
  }
  if (foreign_) {
    ++client_->counters.mismatchedResponses;
    return 0;
  }
  head_seen_ = true;
  keep_ = keep_ && http_should_keep_alive(&parser_) != 0;
  constexpr int kFifths = 5;
  constexpr int kUsedFifths = 4;
  const auto told = keepAliveSeconds(headers);
  idle_timeout_ = client_->settings.idleTimeout;
  if (told) {
    idle_timeout_ =
        std::min<base::Duration>(idle_timeout_, base::seconds(*told) * kUsedFifths / kFifths);
  }
  if (events_.onHead) {
    events_.onHead(parser_.status_code, headers);
  }
  return request_.method == "HEAD" ? 1 : 0;
}

void UpstreamConnection::onMessageComplete() {
  if (!foreign_ && parser_.status_code >= kFirstFinalStatus) {
    answered_ = true;
  }
}

void UpstreamConnection::succeed() {
  if (!busy_) {
    return;
  }
  // A server that answers before it has read the whole request may read the rest of it later:
  // nothing else may follow on that connection.
  const bool reusable = keep_ && written_ && !closed_;
  UpstreamResult result;
  result.complete = true;
  result.verdict = base::Verdict::kRan;
  result.answerBegan = true;
  if (reusable) {
    UpstreamEvents events = std::exchange(events_, {});
    client_->active.erase(id_);
    client_->keepIdle(shared_from_this());
    read();
    if (events.onEnd) {
      events.onEnd(result);
    }
    return;
  }
  end(result);
}

void UpstreamConnection::fail(const std::string& error) {
  if (!busy_) {
    return;
  }
  UpstreamResult result;
  result.verdict = sent_any_ ? base::Verdict::kMayHaveRun : base::Verdict::kNotRun;
  result.answerBegan = head_seen_;
  result.error = error;
  end(result);
}

void UpstreamConnection::end(const UpstreamResult& result) {
  busy_ = false;
  close();
  client_->active.erase(id_);
  const UpstreamEvents events = std::exchange(events_, {});
  if (events.onEnd) {
    events.onEnd(result);
  }
}

}  // namespace tackpick::http
