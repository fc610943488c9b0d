/// \file
/// HTTP/1.1 client for engines and servers, on Asio and http_parser. It never repeats a request on
/// its own, and it uses an echoed header to detect a late response to an earlier request.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "base/time.h"
#include "base/verdict.h"
#include "http/header_list.h"

namespace tackpick::http {

using ExchangeId = base::NumericId<struct UpstreamExchangeTag>;

/// Address of a server.
struct Address {
  std::string host;  ///< an IP address
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

struct UpstreamRequest {
  Address address;
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;  ///< includes Host, excludes the framing headers
  std::string body;
  /// Sent instead of `body` unless null. Requests with the same body can share it.
  std::shared_ptr<const std::string> sharedBody = {};
  /// Name of a header that the server copies from the request to the response. A response with a
  /// value other than `echoValue` belongs to another request and is ignored. If the name is empty,
  /// every response is accepted.
  std::string echoHeader;
  std::string echoValue;
  /// Whether to open a new connection. An idle connection may turn out to be closed after the
  /// request was sent.
  bool newConnection = false;
  /// Time from sending the request until the response must be complete. Zero: no timeout.
  base::Duration timeout{0};
  /// Maximum size of the response's body; the exchange fails if it is exceeded.
  std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
  /// Called immediately before the request is sent, which may be long after start(). If it returns
  /// false, nothing is sent and the exchange fails. Empty: the request is always sent.
  std::function<bool()> maySend = {};
};

/// Outcome of an exchange.
struct UpstreamResult {
  bool complete = false;  ///< whether the complete response was received
  /// kNotRun if no byte of the request was sent.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// Whether the server sent bytes that are no valid response, or a body over the limit. It is
  /// running then, unlike a server whose connection just ends.
  bool malformed = false;
  bool responseStarted = false;
  std::optional<base::TimePoint> sentAt;  ///< when the first byte was sent; unset if none was
  std::string error;                      ///< empty if complete
};

/// Callbacks for the progress of an exchange.
struct UpstreamEvents {
  std::function<void(int status, const HeaderList& headers)> onHead;
  std::function<void(std::string_view data)> onData;
  std::function<void(const UpstreamResult& end)> onEnd;
};

/// Settings of UpstreamClient.
struct UpstreamClientSettings {
  base::Duration connectTimeout = base::milliseconds(600);
  /// Time after which an idle connection is closed. Reduced to 4/5 of the timeout in the server's
  /// Keep-Alive header if that is shorter.
  base::Duration idleTimeout = base::seconds(8);
  std::size_t maxIdlePerAddress = 32;
  /// Number of connections above which an idle one is closed for each new one.
  std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
  /// Time after which a connection fails whose peer does not acknowledge sent bytes. Applies even
  /// while this process is suspended, so it limits how late a request can arrive. Zero: the default
  /// of the operating system.
  base::Duration unacknowledgedTimeout{0};
};

/// Counters since the start.
struct UpstreamCounters {
  std::uint64_t connectionsOpened = 0;
  std::uint64_t mismatchedResponses = 0;  ///< responses to another request
};

class UpstreamPool;

/// HTTP client for any number of concurrent exchanges. Runs on the thread of its io_context. The
/// callbacks in UpstreamEvents are never called from within start() or cancel().
class UpstreamClient {
 public:
  UpstreamClient(asio::io_context& context, UpstreamClientSettings settings);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  ExchangeId start(UpstreamRequest request, UpstreamEvents events);
  /// Stops reading the response until resume().
  void pause(ExchangeId exchange);
  void resume(ExchangeId exchange);
  /// Aborts the exchange by resetting its connection, which discards bytes that have not arrived
  /// yet. Its callbacks are no longer called. Returns when the first byte was sent; std::nullopt if
  /// none was sent or the exchange has ended.
  std::optional<base::TimePoint> cancel(ExchangeId exchange);
  /// Returns the number of exchanges in progress.
  [[nodiscard]] std::size_t active() const;
  [[nodiscard]] const UpstreamCounters& counters() const;

 private:
  std::shared_ptr<UpstreamPool> pool_;
};

}  // namespace tackpick::http
