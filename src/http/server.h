/// \file
/// HTTP server of the product's own interface: names in lower case, queries decoded.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace tackpick::http {

struct Request {
  std::string method;
  std::string path;  ///< without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;

  /// The header's value, or an empty text.
  [[nodiscard]] std::string header(const std::string& lowerCaseName) const;
  [[nodiscard]] std::string queryValue(const std::string& name) const;
};

using Headers = std::map<std::string, std::string>;

/// Answers one request, whole or as a stream. Used on the server's thread.
class Responder {
 public:
  virtual ~Responder() = default;
  /// Sends a whole answer.
  virtual void respond(int status, const Headers& headers, std::string body) = 0;
  /// Begins a stream of server-sent events.
  virtual void beginStream(const Headers& headers) = 0;
  /// Sends one event; `data` must not contain a newline.
  virtual void sendEvent(std::string_view data) = 0;
  virtual void endStream() = 0;
  /// Cuts the connection, so that the client sees an incomplete answer.
  virtual void abort() = 0;
  /// Called when the client hangs up before the answer is complete.
  virtual void onClosed(std::function<void()> callback) = 0;
  /// Bytes handed over and not yet written: a client that does not read makes it grow.
  [[nodiscard]] virtual std::size_t unsentBytes() const = 0;
};

using Handler = std::function<void(const Request& request, std::shared_ptr<Responder> responder)>;

/// Knobs of Server.
struct ServerSettings {
  std::string host = "127.0.0.1";  ///< an IP number
  std::uint16_t port = 0;          ///< 0: chosen by the operating system
  std::size_t maximumBodyBytes = 8U << 20U;
  std::size_t maximumHeaderBytes = 8U << 10U;
  int readTimeoutSeconds = 20;   ///< for the headers, then for the body, of a request
  int writeTimeoutSeconds = 20;  ///< for a client to take what was written
};

/// The decoded query of a request's target; empty when it is malformed.
[[nodiscard]] std::map<std::string, std::string> parseQuery(std::string_view target);

/// Serves on the thread that runs `context`.
class Server {
 public:
  Server(asio::io_context& context, const ServerSettings& settings, const Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  void stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace tackpick::http
