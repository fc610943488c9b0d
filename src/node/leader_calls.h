/// \file
/// HTTP calls that only the controllers' leader may make.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "directory/leader_lease.h"
#include "http/upstream_client.h"

namespace tackpick::node {

/// Outcome of a call.
struct LeaderCallResult {
  bool complete = false;  ///< the response was received completely
  int status = 0;         ///< zero if no response was received
  base::Duration age{0};  ///< time since start()
  /// Time from start() until the request was sent; unset if it was not sent.
  std::optional<base::Duration> sentAfter;
  std::string error;  ///< empty if complete
};

/// Makes calls that must not take effect after the lease under which they were decided. A request
/// is sent only while its term holds the lease. A call without a response is aborted when the lease
/// ends or after a timeout; the reset of its connection discards bytes that are still in transit.
/// Owned by the event loop of its Node.
class LeaderCalls {
 public:
  using Callback = std::function<void(const LeaderCallResult& result)>;

  LeaderCalls(http::UpstreamClient& upstream, const directory::LeaderLease& lease,
              const base::TimeSource& clock)
      : m_upstream(upstream), m_lease(lease), m_clock(clock) {}
  ~LeaderCalls();
  LeaderCalls(const LeaderCalls&) = delete;
  LeaderCalls& operator=(const LeaderCalls&) = delete;

  /// Starts a call decided in `term`. The callback is called once, but not from within start().
  void start(http::UpstreamRequest request, consensus::Term term, Callback callback);
  /// Aborts the calls whose lease has ended or that have timed out. Must be called in every
  /// iteration of the event loop.
  void abortExpired();

 private:
  struct Call {
    consensus::Term term = 0;
    base::TimePoint startedAt{};
    http::ExchangeId exchange;
    int status = 0;
    Callback callback;
  };

  [[nodiscard]] bool isPermitted(consensus::Term term) const {
    return m_lease.heldTerm(m_clock.now()) == term;
  }
  void onEnd(std::uint64_t id, const http::UpstreamResult& end);
  void abort(std::uint64_t id, const std::string& error);
  void finish(std::uint64_t id, LeaderCallResult result);

  http::UpstreamClient& m_upstream;
  const directory::LeaderLease& m_lease;
  const base::TimeSource& m_clock;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, Call> m_calls;
};

}  // namespace tackpick::node
