/// \file
/// HTTP/1.1 client for engines and servers, on Asio and http_parser. Unlike a general client it
/// never repeats a request by itself, and it tells an answer to this request from a late answer to
/// an earlier one by an echoed header.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "base/time.h"
#include "base/verdict.h"
#include "http/header_list.h"

namespace tackpick::http {

using ExchangeId = base::NumericId<struct UpstreamExchangeTag>;

/// Where a server listens.
struct Address {
  std::string host;  ///< an IP number
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

struct UpstreamRequest {
  Address address;
  std::string method = "GET";
  std::string target = "/";
  HeaderList headers;  ///< without framing; Host included
  std::string body;
  /// Header that the answer repeats, with its value; an answer with another value belongs to
  /// another request and is passed over. An empty name: any answer counts.
  std::string echoHeader;
  std::string echoValue;
  /// Use a connection of its own: a kept one may turn out to be dead after the request was sent.
  bool newConnection = false;
};

/// How an exchange ended.
struct UpstreamResult {
  bool complete = false;  ///< the whole answer arrived
  /// kNotRun: no byte of the request went out.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  bool answerBegan = false;
  std::string error;  ///< empty when complete
};

struct UpstreamEvents {
  std::function<void(int status, const HeaderList& headers)> onHead;
  std::function<void(std::string_view data)> onData;
  std::function<void(const UpstreamResult& end)> onEnd;
};

/// Knobs of UpstreamClient.
struct UpstreamSettings {
  base::Duration connectTimeout = base::milliseconds(600);
  /// A connection kept without use is closed after this, or after four fifths of what the server
  /// says in Keep-Alive.
  base::Duration idleTimeout = base::seconds(8);
  std::size_t idlePerAddress = 32;
};

/// Counters since the start.
struct UpstreamCounters {
  std::uint64_t connectionsOpened = 0;
  std::uint64_t mismatchedResponses = 0;  ///< answers that belonged to another request
};

class UpstreamPool;

/// Runs on the thread of its io_context. Events are never called from within start() or cancel().
class UpstreamClient {
 public:
  UpstreamClient(asio::io_context& context, UpstreamSettings settings);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  ExchangeId start(UpstreamRequest request, UpstreamEvents events);
  /// Reads no more of the exchange's answer until resume().
  void pause(ExchangeId exchange);
  void resume(ExchangeId exchange);
  /// Breaks the exchange off by closing its connection; its events are not called any more.
  void cancel(ExchangeId exchange);
  [[nodiscard]] std::size_t active() const;
  [[nodiscard]] const UpstreamCounters& counters() const;

 private:
  std::shared_ptr<UpstreamPool> pool_;
};

}  // namespace tackpick::http
