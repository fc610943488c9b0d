#include "http/upstream_client.h"

#include "http/upstream_connection.h"

namespace tackpick::http {

UpstreamClient::UpstreamClient(asio::io_context& context, UpstreamClientSettings settings)
    : pool_(std::make_shared<UpstreamPool>(context, settings)) {}

UpstreamClient::~UpstreamClient() {
  pool_->stopped = true;
  for (const auto& [id, connection] : pool_->active) {
    connection->close();
  }
  for (const auto& [address, connections] : pool_->idle) {
    for (const auto& connection : connections) {
      connection->close();
    }
  }
  pool_->active.clear();
  pool_->idle.clear();
}

ExchangeId UpstreamClient::start(UpstreamRequest request, UpstreamEvents events) {
  const ExchangeId id = pool_->nextExchangeId;
  ++pool_->nextExchangeId.value;
  auto connection = request.newConnection ? nullptr : pool_->acquireIdle(request.address);
  if (!connection) {
    pool_->makeRoomForConnection();
    connection = std::make_shared<UpstreamConnection>(pool_, request.address);
  }
  pool_->active[id] = connection;
  connection->start(id, std::move(request), std::move(events));
  return id;
}

void UpstreamClient::pause(ExchangeId exchange) {
  const auto found = pool_->active.find(exchange);
  if (found != pool_->active.end()) {
    found->second->pause();
  }
}

void UpstreamClient::resume(ExchangeId exchange) {
  const auto found = pool_->active.find(exchange);
  if (found != pool_->active.end()) {
    found->second->resume();
  }
}

std::optional<base::TimePoint> UpstreamClient::cancel(ExchangeId exchange) {
  const auto found = pool_->active.find(exchange);
  if (found == pool_->active.end()) {
    return std::nullopt;
  }
  const auto connection = found->second;
  pool_->active.erase(found);
  connection->close();
  return connection->sentAt();
}

std::size_t UpstreamClient::active() const { return pool_->active.size(); }

const UpstreamCounters& UpstreamClient::counters() const { return pool_->counters; }

}  // namespace tackpick::http
