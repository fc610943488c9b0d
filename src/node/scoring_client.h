/// \file
/// Calls scorers for the complete texts of items.
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
#include "node/quarantine_client.h"

namespace tackpick::node {

class Node;

/// Makes scoring calls; ScoringAttempts, ConcurrencyLimiter and InstanceTable make the decisions.
/// Scorers may share servers with callers, who have priority: calls are delayed while requests
/// queue at a server.
class ScoringClient {
 public:
  /// Receives the score, or null if the scorer has failed too often. Not called if the deadline
  /// passes while no attempt is in flight.
  using Callback = std::function<void(const std::string* score)>;

  ScoringClient(Node& node, forwarding::InstanceTable& instances,
                const directory::RouteTable& routes, QuarantineClient& quarantineClient)
      : m_node(node),
        m_instances(instances),
        m_routes(routes),
        m_quarantineClient(quarantineClient) {}

  /// Queues a call to the item's scorer, which is repeated until it succeeds or `deadline` has
  /// passed.
  void add(const jobs::LeasedItem& leased, base::TimePoint deadline, Callback callback);
  void cancel(const jobs::ItemKey& key);
  /// Starts the calls that may start and cancels those that timed out. Must be called periodically
  /// while calls are pending.
  void sendPending(base::TimePoint now);
  /// Number of pending calls.
  [[nodiscard]] std::size_t size() const { return m_calls.size(); }

 private:
  struct Call {
    jobs::ScoringCall request;
    base::TimePoint deadline{};
    Callback callback;
    std::string tenant;
    std::uint32_t itemAttempts = 1;
    std::unique_ptr<jobs::ScoringAttempts> attempts;
    std::set<std::string> triedInstances;
    std::string instance;
    http::ExchangeId exchange;  ///< valid while an attempt is in flight
    base::TimePoint sentAt{};
    base::TimePoint notBefore{};
    base::Duration timeout{0};  ///< time after which an attempt without a response is cancelled
    jobs::ScorerResponse response;
    bool overloaded = false;  ///< requests queue at the server
    std::string service;
  };

  void send(const jobs::ItemKey& key, Call& call, base::TimePoint now);
  void onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers);
  void onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end);
  static void logFailure(const jobs::ItemKey& key, const Call& call,
                         forwarding::AttemptOutcome outcome, base::TimePoint now);
  void abortCall(Call& call, forwarding::AttemptOutcome outcome, base::TimePoint now);
  [[nodiscard]] static forwarding::AttemptOutcome outcomeOf(const Call& call);

  Node& m_node;
  forwarding::InstanceTable& m_instances;
  const directory::RouteTable& m_routes;
  QuarantineClient& m_quarantineClient;
  forwarding::ConcurrencyLimiter m_limiter;
  std::map<jobs::ItemKey, Call> m_calls;
};

}  // namespace tackpick::node
