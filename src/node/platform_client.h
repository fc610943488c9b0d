/// \file
/// Calls to the platform that one machine at a time may make.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "duties/capacity_messages.h"
#include "duties/usage_reporter.h"
#include "http/upstream_client.h"

namespace tackpick::node {

class Node;

/// Thin: UsageReporter and Autoscaler decide when to call and what an outcome means.
class PlatformClient {
 public:
  explicit PlatformClient(Node& node) : m_node(node) {}

  using Callback = std::function<void(duties::UsageReportOutcome outcome)>;
  void send(const duties::UsageReport& report, Callback callback);
  using ScaleCallback = std::function<void(duties::ScaleOutcome outcome)>;
  void send(const duties::ScaleCall& call, ScaleCallback callback);

 private:
  struct Call;
  /// How a call ended.
  struct CallEnd {
    bool complete = false;  ///< the answer is whole
    int status = 0;
    std::string error;
  };

  void start(http::UpstreamRequest request, std::function<void(const CallEnd&)> callback);
  static void onEnd(const std::shared_ptr<Call>& call, bool complete, const std::string& error);
  void tell(const duties::UsageReport& report, duties::UsageReportOutcome outcome,
            const CallEnd& end);
  void tell(const duties::ScaleCall& call, duties::ScaleOutcome outcome, const CallEnd& end);

  Node& m_node;
};

}  // namespace tackpick::node
