#include "http/exchange_server.h"

#include <utility>

#include "http/server_connection.h"

namespace tackpick::http {

class ExchangeServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& context, const std::string& host, std::uint16_t port,
                 ExchangeLimits limits, ExchangeHandler handler)
      : state(std::make_shared<ServerState>(context, limits, std::move(handler))),
        acceptor(context, {asio::ip::make_address(host), port}),
        m_retryTimer(context) {}

  void accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
          if (error == asio::error::operation_aborted || !self->acceptor.is_open()) {
            return;
          }
          if (error) {
            self->onAcceptFailed();
            return;
          }
          self->add(std::move(socket));
          self->accept();
        });
  }

  std::shared_ptr<ServerState> state;
  asio::ip::tcp::acceptor acceptor;

 private:
  void add(asio::ip::tcp::socket socket) {
    if (state->connections.size() >= state->limits.maxConnections &&
        !state->closeSilent(ShedReason::kConnections)) {
      state->countShed(ShedReason::kNoConnection);
      return;
    }
    const auto connection = std::make_shared<ServerConnection>(state, std::move(socket));
    state->connections.insert(connection);
    connection->start();
  }

  /// Accepts again after a pause: while there is no free descriptor, accept() fails at once.
  void onAcceptFailed() {
    constexpr base::Duration kRetryInterval = base::milliseconds(20);
    state->countShed(ShedReason::kNoDescriptor);
    (void)state->closeSilent(ShedReason::kConnections);
    m_retryTimer.expires_after(kRetryInterval);
    m_retryTimer.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error && self->acceptor.is_open()) {
        self->accept();
      }
    });
  }

  base::Timer m_retryTimer;
};

ExchangeServer::ExchangeServer(asio::io_context& context, const std::string& host,
                               std::uint16_t port, ExchangeLimits limits, ExchangeHandler handler)
    : implementation_(
          std::make_shared<Implementation>(context, host, port, limits, std::move(handler))) {
  implementation_->accept();
}

ExchangeServer::~ExchangeServer() { stop(); }

std::uint16_t ExchangeServer::port() const {
  return implementation_->acceptor.local_endpoint().port();
}

void ExchangeServer::setLimits(const ExchangeLimits& limits) {
  implementation_->state->setLimits(limits);
}

void ExchangeServer::beginDrain() {
  asio::error_code ignored;
  implementation_->acceptor.close(ignored);
  implementation_->state->draining = true;
  const auto connections = implementation_->state->connections;
  for (const auto& connection : connections) {
    connection->closeIfIdle();
  }
}

void ExchangeServer::endExchanges(int status) {
  const auto connections = implementation_->state->connections;
  for (const auto& connection : connections) {
    connection->endRequest(status);
  }
}

std::size_t ExchangeServer::openExchanges() const { return implementation_->state->openExchanges; }

std::size_t ExchangeServer::openConnections() const {
  return implementation_->state->connections.size();
}

UnreadResponses ExchangeServer::unreadResponses() const { return implementation_->state->unread; }

ServerLoad ExchangeServer::load() const {
  const ServerState& state = *implementation_->state;
  ServerLoad load;
  load.requestBytes = state.requestMemory->usedBytes();
  load.unfinishedBytes = state.unfinishedMemory->usedBytes();
  load.connections = state.connections.size();
  load.shed = state.shed;
  return load;
}

bool ExchangeServer::hasRoomForResponse(std::size_t bytes) const {
  const ServerState& state = *implementation_->state;
  return state.unread.bytes + bytes <= state.limits.maxTotalUnsentBytes;
}

std::string_view toString(ShedReason reason) {
  switch (reason) {
    case ShedReason::kNoMemory:
      return "no_memory";
    case ShedReason::kSlowBody:
      return "slow_body";
    case ShedReason::kSilent:
      return "silent";
    case ShedReason::kConnections:
      return "connections";
    case ShedReason::kNoConnection:
      return "no_connection";
    case ShedReason::kNoDescriptor:
      return "no_descriptor";
  }
  return "unknown";
}

void ExchangeServer::stop() {
  asio::error_code ignored;
  implementation_->acceptor.close(ignored);
  const auto connections = implementation_->state->connections;
  for (const auto& connection : connections) {
    connection->close();
  }
}

}  // namespace tackpick::http
