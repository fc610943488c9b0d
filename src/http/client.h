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
  std::string url;  ///< the host must be an IP address
  std::map<std::string, std::string> headers;
  std::string body;
  base::Duration connectTimeout = base::seconds(1);
  base::Duration timeout{0};  ///< for the complete transfer; zero means no timeout
  /// Maximum size of a body that is collected in ClientResult; the transfer fails if it is
  /// exceeded.
  std::size_t maxBodyBytes = 16U << 20U;
  /// Whether to open a new connection. Required for requests that must not be repeated, because
  /// libcurl silently sends a request again if a reused connection turns out to be closed.
  bool newConnection = false;
};

/// Outcome of a transfer.
struct ClientResult {
  int status = 0;         ///< zero if no response was received
  bool complete = false;  ///< whether the complete response was received
  base::Verdict verdict = base::Verdict::kMayHaveRun;  ///< kNotRun: no byte was sent
  std::string error;                                   ///< empty if complete
  std::string body;                            ///< empty if it was passed to a data callback
  std::map<std::string, std::string> headers;  ///< names in lower case
};

/// Called with each part of the body of a successful (2xx) response.
using DataCallback = std::function<void(std::string_view data)>;
using DoneCallback = std::function<void(const ClientResult& result)>;

/// HTTP client for any number of concurrent transfers. Runs on the thread of its io_context.
/// Callbacks are never called from within start().
class Client {
 public:
  explicit Client(asio::io_context& context);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  TransferId start(const ClientRequest& request, DataCallback onData, DoneCallback onDone);
  /// Aborts the transfer. Its callbacks are no longer called.
  void cancel(TransferId transfer);
  /// Returns the number of transfers in progress.
  [[nodiscard]] std::size_t active() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace tackpick::http
