/// \file
/// Forwards callers' requests to instances and returns the responses.
#pragma once

#include <memory>

#include "directory/configuration.h"
#include "forwarding/instance_table.h"
#include "http/exchange_server.h"
#include "node/quarantine_client.h"
#include "node/usage_sender.h"

namespace tackpick::node {

class Node;

/// Starts one ForwardedRequest per request; RetryPolicy and InstanceTable make the decisions.
class Forwarder {
 public:
  Forwarder(Node& node, forwarding::InstanceTable& instances, UsageSender& usage,
            QuarantineClient& quarantineClient)
      : node_(node), instances_(instances), usage_(usage), m_quarantineClient(quarantineClient) {}

  /// Forwards one request of `tenant` and responds on `exchange`.
  void forward(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange,
               const directory::Route& route, const std::string& tenant);

 private:
  Node& node_;
  forwarding::InstanceTable& instances_;
  UsageSender& usage_;
  QuarantineClient& m_quarantineClient;
};

}  // namespace tackpick::node
