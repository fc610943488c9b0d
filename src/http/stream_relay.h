/// \file
/// Passes an answer on piece by piece, no faster than the caller takes it.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "http/exchange_server.h"
#include "http/upstream_client.h"

namespace tackpick::http {

/// While the caller leaves more than `maxUnsent` bytes unread, no more of the answer is read from
/// its server, which then notices a slow reader as if it had sent to the caller itself.
class StreamRelay : public std::enable_shared_from_this<StreamRelay> {
 public:
  /// Enough for a caller that reads to be busy until more has come.
  static constexpr std::size_t kMaxUnsent = 256U << 10U;

  StreamRelay(UpstreamClient& upstream, ExchangeId from, std::shared_ptr<Exchange> to,
              std::size_t maxUnsent = kMaxUnsent)
      : m_upstream(upstream), m_from(from), m_to(std::move(to)), m_maxUnsent(maxUnsent) {}

  void begin(int status, const HeaderList& headers);
  /// True when reading stops because of it.
  bool pass(std::string_view data);

 private:
  void resume();

  UpstreamClient& m_upstream;
  const ExchangeId m_from;
  const std::shared_ptr<Exchange> m_to;
  const std::size_t m_maxUnsent;
  bool m_paused = false;
};

}  // namespace tackpick::http
