#include "transport/peer_network.h"

#include <algorithm>
#include <utility>

#include "transport/connection.h"

namespace tackpick::transport {
namespace {

asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, PeerNetworkSettings settings,
                         MessageHandler handler)
    : context_(context),
      settings_(std::move(settings)),
      handler_(std::move(handler)),
      acceptor_(context, toAsio(settings_.listen)),
      m_acceptRetryTimer(context) {
  accept();
}

PeerNetwork::~PeerNetwork() { stop(); }

std::uint16_t PeerNetwork::port() const { return acceptor_.local_endpoint().port(); }

void PeerNetwork::stop() {
  if (stopped_) {
    return;
  }
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  m_acceptRetryTimer.cancel();
  const auto connections = m_connections;
  for (const auto& [pointer, weak] : connections) {
    if (const auto connection = weak.lock()) {
      connection->close();
    }
  }
}

void PeerNetwork::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (stopped_ || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      onAcceptFailed();
      return;
    }
    const auto connection =
        std::make_shared<Connection>(*this, std::move(socket), false, base::NodeId{});
    m_connections[connection.get()] = connection;
    m_inboundHandshakes.push_back(connection);
    connection->start();
    closeExcessHandshakes();
    accept();
  });
}

void PeerNetwork::onAcceptFailed() {
  constexpr auto kRetryInterval = std::chrono::milliseconds(20);
  m_acceptRetryTimer.expires_after(kRetryInterval);
  m_acceptRetryTimer.async_wait([this](const asio::error_code& error) {
    if (!error && !stopped_) {
      accept();
    }
  });
}

void PeerNetwork::closeExcessHandshakes() {
  m_inboundHandshakes.remove_if([this](const std::weak_ptr<Connection>& weak) {
    const auto connection = weak.lock();
    return !connection || connection->isAuthenticated() ||
           !m_connections.contains(connection.get());
  });
  while (m_inboundHandshakes.size() > settings_.maxInboundHandshakes) {
    const auto oldest = m_inboundHandshakes.front().lock();
    m_inboundHandshakes.pop_front();
    ++m_rejectedConnections;
    oldest->close();
  }
}

bool PeerNetwork::beginLargeFrame(const std::shared_ptr<Connection>& connection,
                                  std::size_t bytes) {
  if (m_receivingBytes > 0 && m_receivingBytes + bytes > settings_.maxReceivingBytes) {
    m_waitingReceivers.push_back(connection);
    return false;
  }
  m_receivingBytes += bytes;
  return true;
}

void PeerNetwork::endLargeFrame(std::size_t bytes) {
  m_receivingBytes -= bytes;
  // Posted because the connection that has finished may still be on the call stack.
  asio::post(context_, [this] {
    for (const auto& weak : std::exchange(m_waitingReceivers, {})) {
      const auto connection = weak.lock();
      if (connection && m_connections.contains(connection.get())) {
        connection->receiveLargeFrame();
      }
    }
  });
}

std::optional<Endpoint> PeerNetwork::addressOf(std::uint32_t number) const {
  const auto configured = settings_.peers.find(number);
  if (configured != settings_.peers.end()) {
    return configured->second;
  }
  if (settings_.derivedPeerPort == 0) {
    return std::nullopt;
  }
  return Endpoint{asio::ip::address_v4(number).to_string(), settings_.derivedPeerPort};
}

void PeerNetwork::connect(std::uint32_t number) {
  OutboundPeer& outbound = m_outboundPeers[number];
  const auto address = addressOf(number);
  if (outbound.connection || outbound.inBackoff || stopped_ || !address) {
    return;
  }
  const auto connection = std::make_shared<Connection>(*this, asio::ip::tcp::socket(context_), true,
                                                       base::makeNodeId(number, 0));
  outbound.connection = connection;
  m_connections[connection.get()] = connection;
  connection->startHandshakeTimer();
  connection->socket().async_connect(toAsio(*address), [connection](const asio::error_code& error) {
    if (error) {
      connection->close();
    } else {
      connection->start();
    }
  });
}

void PeerNetwork::onAuthenticated(const std::shared_ptr<Connection>& connection) {
  if (connection->isOutboundConnection()) {
    OutboundPeer& outbound = m_outboundPeers[base::nodeNumber(connection->expectedPeer())];
    outbound.backoff = base::Duration{0};
    outbound.pendingBytes = 0;
    for (const base::Bytes& frame : std::exchange(outbound.pending, {})) {
      connection->send(frame);
    }
  } else {
    m_inboundConnections[connection->peer()] = connection;
  }
}

void PeerNetwork::onClosed(const std::shared_ptr<Connection>& connection) {
  m_connections.erase(connection.get());
  const auto inbound = m_inboundConnections.find(connection->peer());
  if (inbound != m_inboundConnections.end() && inbound->second == connection) {
    m_inboundConnections.erase(inbound);
  }
  const base::NodeId peer =
      connection->isOutboundConnection() ? connection->expectedPeer() : connection->peer();
  if (settings_.onConnectionLost && !stopped_ && peer.valid()) {
    settings_.onConnectionLost(base::nodeNumber(peer));
  }
  if (!connection->isOutboundConnection() || stopped_) {
    return;
  }
  const std::uint32_t number = base::nodeNumber(connection->expectedPeer());
  OutboundPeer& outbound = m_outboundPeers[number];
  outbound.connection.reset();
  outbound.pending.clear();
  outbound.pendingBytes = 0;
  outbound.inBackoff = true;
  outbound.backoff = std::clamp(outbound.backoff * 2, settings_.minBackoff, settings_.maxBackoff);
  outbound.timer = std::make_shared<base::Timer>(context_, outbound.backoff);
  outbound.timer->async_wait([this, number](const asio::error_code& error) {
    if (!error && !stopped_) {
      m_outboundPeers[number].inBackoff = false;
    }
  });
}

void PeerNetwork::send(base::NodeId to, InternalMessage message) {
  if (to == settings_.self) {
    asio::post(context_, [this, message = std::move(message)]() mutable {
      handler_(settings_.self, std::move(message));
    });
    return;
  }
  const std::uint32_t number = base::nodeNumber(to);
  if (number == base::nodeNumber(settings_.self)) {
    return;  // the addressee is an earlier instance of this node
  }
  const bool configured = settings_.peers.contains(number);
  const auto inbound = m_inboundConnections.find(to);
  if (!configured && inbound != m_inboundConnections.end()) {
    const base::Bytes encoded = base::encode(std::exchange(message, {}));
    inbound->second->send(encoded);
    return;
  }
  if (!addressOf(number)) {
    return;
  }
  connect(number);
  OutboundPeer& outbound = m_outboundPeers[number];
  if (!outbound.connection) {
    return;
  }
  base::Bytes frame = base::encode(std::exchange(message, {}));
  if (outbound.connection->isAuthenticated()) {
    outbound.connection->send(frame);
  } else if (outbound.pendingBytes + frame.size() <= settings_.maxPendingBytes) {
    // Messages are only queued during a connection attempt, not while the peer is unreachable.
    outbound.pendingBytes += frame.size();
    outbound.pending.push_back(std::move(frame));
  }
}

}  // namespace tackpick::transport
