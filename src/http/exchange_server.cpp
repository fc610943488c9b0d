#include "http/exchange_server.h"

#include <utility>

#include "http/server_connection.h"

namespace tackpick::http {

class ExchangeServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& context, const std::string& host, std::uint16_t port,
                 ExchangeLimits limits, ExchangeHandler handler)
      : state(std::make_shared<ServerState>(context, limits, std::move(handler))),
        acceptor(context, {asio::ip::make_address(host), port}) {}

  void accept() {
    acceptor.async_accept([self = shared_from_this()](const asio::error_code& error,
                                                      asio::ip::tcp::socket socket) {
      if (error == asio::error::operation_aborted || !self->acceptor.is_open()) {
        return;
      }
      if (!error) {
        const auto connection = std::make_shared<ServerConnection>(self->state, std::move(socket));
        self->state->connections.insert(connection);
        connection->start();
      }
      self->accept();
    });
  }

  std::shared_ptr<ServerState> state;
  asio::ip::tcp::acceptor acceptor;
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
  implementation_->state->limits = limits;
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

std::size_t ExchangeServer::openExchanges() const { return implementation_->state->openExchanges; }

std::size_t ExchangeServer::openConnections() const {
  return implementation_->state->connections.size();
}

UnreadResponses ExchangeServer::unreadResponses() const { return implementation_->state->unread; }

void ExchangeServer::stop() {
  asio::error_code ignored;
  implementation_->acceptor.close(ignored);
  const auto connections = implementation_->state->connections;
  for (const auto& connection : connections) {
    connection->close();
  }
}

}  // namespace tackpick::http
