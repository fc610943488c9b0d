/// \file
/// Calls to the platform that one machine at a time may make.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>

#include "duties/usage_duty.h"

namespace tackpick::node {

class Node;

/// Thin: UsageDuty decides when to call and what an outcome means.
class DutyCaller {
 public:
  explicit DutyCaller(Node& node) : m_node(node) {}

  using Callback = std::function<void(duties::DutyOutcome outcome)>;
  void send(const duties::UsageReport& report, Callback callback);

 private:
  struct Call;

  void onEnd(const std::shared_ptr<Call>& call, bool complete, const std::string& error);

  Node& m_node;
};

}  // namespace tackpick::node
