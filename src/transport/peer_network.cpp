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
      acceptor_(context, toAsio(settings_.listen)) {
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
  const auto connections = all_;
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
    if (!error) {
      const auto connection =
          std::make_shared<Connection>(*this, std::move(socket), false, base::NodeId{});
      all_[connection.get()] = connection;
      connection->start();
    }
    accept();
  });
}

std::optional<Endpoint> PeerNetwork::addressOf(std::uint32_t number) const {
  const auto listed = settings_.peers.find(number);
  if (listed != settings_.peers.end()) {
    return listed->second;
  }
  if (settings_.derivedPeerPort == 0) {
    return std::nullopt;
  }
  return Endpoint{asio::ip::address_v4(number).to_string(), settings_.derivedPeerPort};
}

void PeerNetwork::dial(std::uint32_t number) {
  Dialled& dialled = dialled_[number];
  const auto address = addressOf(number);
  if (dialled.connection || dialled.waiting || stopped_ || !address) {
    return;
  }
  const auto connection = std::make_shared<Connection>(*this, asio::ip::tcp::socket(context_), true,
                                                       base::makeNodeId(number, 0));
  dialled.connection = connection;
  all_[connection.get()] = connection;
  connection->limitHandshake();
  connection->socket().async_connect(toAsio(*address), [connection](const asio::error_code& error) {
    if (error) {
      connection->close();
    } else {
      connection->start();
    }
  });
}

void PeerNetwork::onReady(const std::shared_ptr<Connection>& connection) {
  if (connection->isDialled()) {
    Dialled& dialled = dialled_[base::nodeNumber(connection->expectedPeer())];
    dialled.backoff = base::Duration{0};
    dialled.pendingBytes = 0;
    for (const base::Bytes& frame : std::exchange(dialled.pending, {})) {
      connection->send(frame);
    }
  } else {
    accepted_[connection->peer()] = connection;
  }
}

void PeerNetwork::onClosed(const std::shared_ptr<Connection>& connection) {
  all_.erase(connection.get());
  const auto accepted = accepted_.find(connection->peer());
  if (accepted != accepted_.end() && accepted->second == connection) {
    accepted_.erase(accepted);
  }
  const base::NodeId peer =
      connection->isDialled() ? connection->expectedPeer() : connection->peer();
  if (settings_.onConnectionLost && !stopped_ && peer.valid()) {
    settings_.onConnectionLost(base::nodeNumber(peer));
  }
  if (!connection->isDialled() || stopped_) {
    return;
  }
  const std::uint32_t number = base::nodeNumber(connection->expectedPeer());
  Dialled& dialled = dialled_[number];
  dialled.connection.reset();
  dialled.pending.clear();
  dialled.pendingBytes = 0;
  dialled.waiting = true;
  dialled.backoff = std::clamp(dialled.backoff * 2, settings_.minBackoff, settings_.maxBackoff);
  dialled.timer = std::make_shared<base::Timer>(context_, dialled.backoff);
  dialled.timer->async_wait([this, number](const asio::error_code& error) {
    if (!error && !stopped_) {
      dialled_[number].waiting = false;
    }
  });
}

void PeerNetwork::send(base::NodeId to, const InternalMessage& message) {
  if (to == settings_.self) {
    asio::post(context_, [this, message] { handler_(settings_.self, message); });
    return;
  }
  const std::uint32_t number = base::nodeNumber(to);
  if (number == base::nodeNumber(settings_.self)) {
    return;  // an earlier instance of this very node
  }
  const bool listed = settings_.peers.contains(number);
  const auto accepted = accepted_.find(to);
  if (!listed && accepted != accepted_.end()) {
    accepted->second->send(base::encode(message));
    return;
  }
  if (!addressOf(number)) {
    return;
  }
  dial(number);
  Dialled& dialled = dialled_[number];
  if (!dialled.connection) {
    return;
  }
  base::Bytes frame = base::encode(message);
  if (dialled.connection->isReady()) {
    dialled.connection->send(frame);
  } else if (dialled.pendingBytes + frame.size() <= settings_.maximumPendingBytes) {
    // Connecting takes a moment at most: a peer that is down does not collect old messages.
    dialled.pendingBytes += frame.size();
    dialled.pending.push_back(std::move(frame));
  }
}

}  // namespace tackpick::transport
