/// \file
/// Asks items' scorers to judge their whole texts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "directory/route_table.h"
#include "forwarding/concurrency_limiter.h"
#include "forwarding/instance_table.h"
#include "http/upstream_client.h"
#include "jobs/job_messages.h"
#include "jobs/scoring_attempts.h"
#include "node/request_guard.h"

namespace tackpick::node {

class Node;

/// Thin: ScoringAttempts, ConcurrencyLimiter and InstanceTable decide. Scorers may share their
/// servers with callers, who go first: calls wait here while a server has requests waiting.
class ScoringClient {
 public:
  /// Gets the score; nothing when the scorer has failed too often.
  using Callback = std::function<void(const std::string* score)>;

  ScoringClient(Node& node, forwarding::InstanceTable& instances,
                const directory::RouteTable& routes, RequestGuard& guard)
      : m_node(node), m_instances(instances), m_routes(routes), m_guard(guard) {}

  /// Calls the item's scorer, from start() on, until it answers or `deadline` has passed.
  void add(const jobs::LeasedItem& leased, base::TimePoint deadline, Callback callback);
  void cancel(const jobs::ItemKey& key);
  /// Sends what may be sent. Call it again soon while calls wait.
  void start(base::TimePoint now);
  [[nodiscard]] std::size_t size() const { return m_calls.size(); }

 private:
  struct Call {
    jobs::ScoringCall request;
    base::TimePoint deadline{};
    Callback callback;
    std::string tenant;
    std::uint32_t itemAttempts = 1;
    std::unique_ptr<jobs::ScoringAttempts> attempts;
    std::set<std::string> tried;
    std::string instance;
    http::ExchangeId exchange;  ///< valid while a call runs
    base::TimePoint sentAt{};
    base::TimePoint notBefore{};
    base::Duration patience{0};  ///< a running call without an answer is broken off after this
    jobs::ScorerResponse answer;
    bool crowded = false;  ///< requests wait at its server
    std::string service;
    std::optional<quarantine::RequestFingerprint> fingerprint;  ///< once it is needed
    bool trial = false;  ///< servers ended under it; this call is a trial
  };

  /// False when the call is held, since it has ended servers.
  [[nodiscard]] bool admit(Call& call);
  [[nodiscard]] const quarantine::RequestFingerprint& fingerprintOf(Call& call) const;
  void send(const jobs::ItemKey& key, Call& call, base::TimePoint now);
  void onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers);
  void onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end);
  static void noteFailure(const jobs::ItemKey& key, const Call& call,
                          forwarding::AttemptOutcome outcome, base::TimePoint now);
  void breakOff(Call& call, forwarding::AttemptOutcome outcome, base::TimePoint now);
  [[nodiscard]] static forwarding::AttemptOutcome outcomeOf(const Call& call);

  Node& m_node;
  forwarding::InstanceTable& m_instances;
  const directory::RouteTable& m_routes;
  RequestGuard& m_guard;
  forwarding::ConcurrencyLimiter m_window;
  std::map<jobs::ItemKey, Call> m_calls;
};

}  // namespace tackpick::node
