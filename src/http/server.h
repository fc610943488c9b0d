/// \file
/// HTTP server for the product's own interfaces.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/exchange_server.h"

namespace tackpick::http {

/// A request with decoded query and lower-case header names.
struct Request {
  std::string method;
  std::string path;  ///< without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;

  /// Returns the value of the header, or an empty string if it is missing.
  [[nodiscard]] std::string header(const std::string& lowerCaseName) const;
  /// Returns the value of the query parameter, or an empty string if it is missing.
  [[nodiscard]] std::string queryValue(const std::string& name) const;
};

using Headers = std::map<std::string, std::string>;

/// Sends the response to one request, either complete or as a stream of events. Used on the
/// server's thread.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a complete response.
  virtual void respond(int status, const Headers& headers, std::string body) = 0;
  /// Begins a stream of server-sent events.
  virtual void beginStream(const Headers& headers) = 0;
  /// Sends one event; `data` must not contain a newline.
  virtual void sendEvent(std::string_view data) = 0;
  virtual void endStream() = 0;
  /// Resets the connection, so that the client detects that the response is incomplete.
  virtual void abort() = 0;
  /// Sets the callback for a connection that is closed before the response is complete.
  virtual void onClosed(std::function<void()> callback) = 0;
  /// Returns the number of bytes queued on the connection and not yet written to the socket.
  [[nodiscard]] virtual std::size_t unsentBytes() const = 0;
};

using Handler = std::function<void(const Request& request, std::shared_ptr<Responder> responder)>;

/// Settings of Server.
struct ServerSettings {
  std::string host = "127.0.0.1";  ///< an IP address
  std::uint16_t port = 0;          ///< 0: assigned by the operating system
  std::size_t maxRequestBodyBytes = 8U << 20U;
  std::size_t maxRequestHeaderBytes = 8U << 10U;
  /// Limits over all connections; the members below replace those of each connection.
  ExchangeLimits limits = {};
  int readTimeoutSeconds = 20;   ///< separately for the headers and the body of a request
  int writeTimeoutSeconds = 20;  ///< see ExchangeLimits::writeTimeout
};

/// Returns the decoded query of a request target; empty if it is malformed.
[[nodiscard]] std::map<std::string, std::string> parseQuery(std::string_view target);

/// HTTP server that runs on the thread of `context`.
class Server {
 public:
  Server(asio::io_context& context, const ServerSettings& settings, const Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] ServerLoad load() const;
  void stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace tackpick::http
