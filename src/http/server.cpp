#include "http/server.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

#include "http/exchange_server.h"
#include "http/hex_digit.h"

namespace tackpick::http {
namespace {

constexpr int kOk = 200;

class ExchangeResponder final : public Responder {
 public:
  explicit ExchangeResponder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}

  void respond(int status, const Headers& headers, std::string body) override {
    exchange_->respond(status, toList(headers), body);
  }
  void beginStream(const Headers& headers) override {
    HeaderList list;
    list.add("Content-Type", "text/event-stream");
    list.add("Cache-Control", "no-store");
    for (const auto& [name, value] : headers) {
      list.add(name, value);
    }
    exchange_->begin(kOk, list);
  }
  void sendEvent(std::string_view data) override {
    std::string event = "data: ";
    event.append(data).append("\n\n");
    exchange_->write(event);
  }
  void endStream() override { exchange_->finish(); }
  void abort() override { exchange_->abort(); }
  void onClosed(std::function<void()> callback) override {
    exchange_->onClosed(std::move(callback));
  }
  [[nodiscard]] std::size_t unsentBytes() const override { return exchange_->unsentBytes(); }

 private:
  static HeaderList toList(const Headers& headers) {
    HeaderList list;
    for (const auto& [name, value] : headers) {
      list.add(name, value);
    }
    return list;
  }

  std::shared_ptr<Exchange> exchange_;
};

std::string toLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

/// Decodes %XX and '+' in a query. Returns std::nullopt if an escape sequence is malformed.
std::optional<std::string> decodeQueryText(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded += ' ';
    } else if (text[i] != '%') {
      decoded += text[i];
    } else if (i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(hexDigit(text[i + 1]) * kHexBase + hexDigit(text[i + 2]));
      i += 2;
    } else {
      return std::nullopt;
    }
  }
  return decoded;
}

}  // namespace

std::map<std::string, std::string> parseQuery(std::string_view target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    const auto name = decodeQueryText(pair.substr(0, equals));
    const auto value =
        equals == std::string_view::npos ? std::string() : decodeQueryText(pair.substr(equals + 1));
    if (!name || !value) {
      return {};
    }
    query[*name] = *value;
  }
  return query;
}

namespace {

Request toRequest(RawRequest source) {
  Request request;
  request.method = std::move(source.method);
  request.path = source.path();
  request.query = parseQuery(source.target);
  for (const HeaderField& field : source.headers.fields()) {
    request.headers[toLower(field.name)] = field.value;
  }
  request.body = std::move(source.body);
  return request;
}

}  // namespace

std::string Request::header(const std::string& lowerCaseName) const {
  const auto found = headers.find(lowerCaseName);
  return found == headers.end() ? std::string() : found->second;
}

std::string Request::queryValue(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

class Server::Implementation {
 public:
  Implementation(asio::io_context& context, const ServerSettings& settings, const Handler& handler)
      : server_(context, settings.host, settings.port, limits(settings),
                [handler](RawRequest request, const std::shared_ptr<Exchange>& exchange) {
                  handler(toRequest(std::move(request)),
                          std::make_shared<ExchangeResponder>(exchange));
                }) {}

  ExchangeServer& server() { return server_; }

 private:
  static ExchangeLimits limits(const ServerSettings& settings) {
    ExchangeLimits limits = settings.limits;
    limits.maxHeaderBytes = settings.maxRequestHeaderBytes;
    limits.maxBodyBytes = settings.maxRequestBodyBytes;
    limits.headerTimeout = base::seconds(settings.readTimeoutSeconds);
    limits.bodyTimeout = base::seconds(settings.readTimeoutSeconds);
    limits.idleTimeout = base::seconds(settings.readTimeoutSeconds);
    limits.writeTimeout = base::seconds(settings.writeTimeoutSeconds);
    return limits;
  }

  ExchangeServer server_;
};

Server::Server(asio::io_context& context, const ServerSettings& settings, const Handler& handler)
    : implementation_(std::make_unique<Implementation>(context, settings, handler)) {}

Server::~Server() = default;

std::uint16_t Server::port() const { return implementation_->server().port(); }

ServerLoad Server::load() const { return implementation_->server().load(); }

void Server::stop() { implementation_->server().stop(); }

}  // namespace tackpick::http
