/// \file
/// Sends callers' requests to instances and their answers back.
#pragma once

#include <memory>

#include "directory/configuration.h"
#include "forwarding/instance_table.h"
#include "http/exchange_server.h"
#include "node/request_guard.h"
#include "node/usage_sender.h"

namespace tackpick::node {

class Node;

/// Thin: RetryPolicy and InstanceTable decide; each request is a ForwardedRequest of its own.
class Forwarder {
 public:
  Forwarder(Node& node, forwarding::InstanceTable& instances, UsageSender& usage,
            RequestGuard& guard)
      : node_(node), instances_(instances), usage_(usage), m_guard(guard) {}

  void forward(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange,
               const directory::Route& route, const std::string& tenant);

 private:
  Node& node_;
  forwarding::InstanceTable& instances_;
  UsageSender& usage_;
  RequestGuard& m_guard;
};

}  // namespace tackpick::node
