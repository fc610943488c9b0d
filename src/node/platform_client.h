/// \file
/// Calls to the hosting platform, made by the leading controller.
#pragma once

#include <functional>

#include "duties/capacity_messages.h"
#include "duties/usage_reporter.h"
#include "node/leader_calls.h"

namespace tackpick::node {

class Node;

/// Makes the calls that UsageReporter and Autoscaler request and returns their outcomes.
class PlatformClient {
 public:
  explicit PlatformClient(Node& node) : m_node(node) {}

  using Callback = std::function<void(duties::UsageReportOutcome outcome)>;
  void send(const duties::UsageReport& report, Callback callback);
  using ScaleCallback = std::function<void(duties::ScaleOutcome outcome)>;
  void send(const duties::ScaleCall& call, ScaleCallback callback);

 private:
  /// Starts a call to the platform that was decided in `term`.
  void start(http::UpstreamRequest request, consensus::Term term, LeaderCalls::Callback callback);
  void logOutcome(const duties::UsageReport& report, duties::UsageReportOutcome outcome,
                  const LeaderCallResult& result);
  void logOutcome(const duties::ScaleCall& call, duties::ScaleOutcome outcome,
                  const LeaderCallResult& result);

  Node& m_node;
};

}  // namespace tackpick::node
