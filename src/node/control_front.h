/// \file
/// The HTTP interface of a controller: operators, instances and trainers.
#pragma once

#include <memory>

#include "directory/directory_messages.h"
#include "http/exchange_server.h"

namespace tackpick::node {

class Node;

/// Passes every call to the leading controller, which may be this process.
class ControlFront {
 public:
  explicit ControlFront(Node& node);

 private:
  void onRequest(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);

  void onReply(const directory::DirectoryRequest& request, const directory::DirectoryReply* reply,
               int status, base::Duration took);

  Node& node_;
  http::ExchangeServer server_;
};

}  // namespace tackpick::node
