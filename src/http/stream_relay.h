/// \file
/// Forwards a streamed response to a caller with backpressure.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "http/exchange_server.h"
#include "http/upstream_client.h"

namespace tackpick::http {

/// Forwards a response from an upstream server to a caller. While more than `maxUnsent` bytes are
/// unsent to the caller, reading from the upstream server is paused.
class StreamRelay : public std::enable_shared_from_this<StreamRelay> {
 public:
  /// Default of `maxUnsent`. Large enough not to slow down callers that read continuously.
  static constexpr std::size_t kMaxUnsent = 256U << 10U;

  StreamRelay(UpstreamClient& upstream, ExchangeId upstreamExchange,
              std::shared_ptr<Exchange> downstream, std::size_t maxUnsent = kMaxUnsent)
      : m_upstream(upstream),
        m_upstreamExchange(upstreamExchange),
        m_downstream(std::move(downstream)),
        m_maxUnsent(maxUnsent) {}

  void begin(int status, const HeaderList& headers);
  /// Sends `data` to the caller. Returns whether this paused reading from the upstream server.
  bool forwardData(std::string_view data);

 private:
  void resume();

  UpstreamClient& m_upstream;
  const ExchangeId m_upstreamExchange;
  const std::shared_ptr<Exchange> m_downstream;
  const std::size_t m_maxUnsent;
  bool m_paused = false;
};

}  // namespace tackpick::http
