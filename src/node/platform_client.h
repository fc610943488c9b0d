/// \file
/// Calls to the hosting platform, made by the leading controller.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "duties/capacity_messages.h"
#include "duties/usage_reporter.h"
#include "http/upstream_client.h"

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
  struct Call;
  struct CallResult {
    bool complete = false;  ///< the response was received completely
    int status = 0;
    std::string error;
  };

  /// Sends a request; the callback is called once, with its result or on timeout.
  void start(http::UpstreamRequest request, std::function<void(const CallResult&)> callback);
  static void onEnd(const std::shared_ptr<Call>& call, bool complete, const std::string& error);
  void logOutcome(const duties::UsageReport& report, duties::UsageReportOutcome outcome,
                  const CallResult& result);
  void logOutcome(const duties::ScaleCall& call, duties::ScaleOutcome outcome,
                  const CallResult& result);

  Node& m_node;
};

}  // namespace tackpick::node
