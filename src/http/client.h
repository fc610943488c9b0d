/// \file
/// HTTP client on libcurl's multi interface, driven by an Asio event loop.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "base/time.h"
#include "base/verdict.h"

namespace tackpick::http {

using TransferId = base::NumericId<struct TransferTag>;

struct ClientRequest {
  std::string method = "GET";
  std::string url;  ///< with an IP number as host
  std::map<std::string, std::string> headers;
  std::string body;
  base::Duration connectTimeout = base::seconds(1);
  base::Duration timeout{0};  ///< for the whole transfer; zero: none
  /// Never reuse a connection: libcurl silently sends a request again when a reused connection
  /// turns out to be dead, which a not-repeatable request must not suffer.
  bool newConnection = false;
};

/// How a transfer ended.
struct ClientResult {
  int status = 0;                                      ///< zero: no answer began
  bool complete = false;                               ///< the whole answer arrived
  base::Verdict verdict = base::Verdict::kMayHaveRun;  ///< not_run: no byte of the request went out
  std::string error;                                   ///< empty when complete
  std::string body;                                    ///< unless a data callback took it
  std::map<std::string, std::string> headers;          ///< names in lower case
};

/// Called with each piece of a successful (2xx) answer's body.
using DataCallback = std::function<void(std::string_view data)>;
using DoneCallback = std::function<void(const ClientResult& result)>;

/// Runs on the thread of its io_context. Callbacks are never called from within start().
class Client {
 public:
  explicit Client(asio::io_context& context);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  TransferId start(const ClientRequest& request, DataCallback onData, DoneCallback onDone);
  /// Breaks the transfer off; its callbacks are not called any more.
  void cancel(TransferId transfer);
  [[nodiscard]] std::size_t active() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace tackpick::http
