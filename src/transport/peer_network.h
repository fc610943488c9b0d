/// \file
/// Network of TCP connections between the processes of a cluster.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "transport/internal_messages.h"

namespace tackpick::transport {

/// Address on which a process listens.
struct Endpoint {
  std::string host;  ///< an IP address
  std::uint16_t port = 0;
};

/// Settings of PeerNetwork.
struct PeerNetworkSettings {
  base::NodeId self;
  base::Bytes key;                          ///< shared by all processes of the cluster
  Endpoint listen;                          ///< port 0: assigned by the operating system
  std::map<std::uint32_t, Endpoint> peers;  ///< by node number
  /// Port of nodes whose number is their IPv4 address; 0 if only the addresses in `peers` are used.
  std::uint16_t derivedPeerPort = 0;
  std::size_t maxFrameBytes = 64U << 20U;
  /// Maximum size of the send queues of all connections. Above it, messages are dropped unless the
  /// queue of their connection is empty; all protocols that use the network resend.
  std::size_t maxQueuedBytes = 64U << 20U;
  /// Maximum size of all large frames that are being received. Further ones stay unread until there
  /// is room; one is received whatever its size.
  std::size_t maxReceivingBytes = 64U << 20U;
  /// Maximum size of the messages queued for a peer while the connection to it is established.
  std::size_t maxPendingBytes = 1U << 20U;
  /// Maximum number of inbound connections that are not authenticated yet. Above it, the oldest of
  /// them is closed.
  std::size_t maxInboundHandshakes = 256;
  base::Duration minBackoff = base::milliseconds(50);
  base::Duration maxBackoff = base::milliseconds(200);
  /// Called with the number of a node when a connection to or from it is lost or cannot be
  /// established.
  std::function<void(std::uint32_t number)> onConnectionLost;
};

class Connection;

/// Sends messages to the other processes of the cluster. Uses the inbound connection from a peer
/// that is not configured, and otherwise connects to the address of the peer's node number.
/// Messages may be lost when a connection is lost. Both ends authenticate with the shared key and
/// check the protocol version before any message is read. Runs on the thread of its io_context.
class PeerNetwork {
 public:
  using MessageHandler = std::function<void(base::NodeId from, InternalMessage message)>;

  PeerNetwork(asio::io_context& context, PeerNetworkSettings settings, MessageHandler handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// The message is freed as soon as it is encoded.
  void send(base::NodeId to, InternalMessage message);
  [[nodiscard]] std::uint16_t port() const;
  void stop();

  [[nodiscard]] std::uint64_t bytesSent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t bytesReceived() const { return bytes_received_; }
  /// Returns the number of connections rejected because of a wrong key, version or frame.
  [[nodiscard]] std::uint64_t rejectedConnections() const { return m_rejectedConnections; }

 private:
  friend class Connection;
  /// The outbound connection to a node and its reconnection backoff.
  struct OutboundPeer {
    std::shared_ptr<Connection> connection;
    base::Duration backoff{0};
    bool inBackoff = false;
    std::vector<base::Bytes> pending;  ///< sent when the connection is established
    std::size_t pendingBytes = 0;
    std::shared_ptr<base::Timer> timer;
  };

  [[nodiscard]] std::optional<Endpoint> addressOf(std::uint32_t number) const;
  void accept();
  void connect(std::uint32_t number);
  void onAuthenticated(const std::shared_ptr<Connection>& connection);
  void onClosed(const std::shared_ptr<Connection>& connection);
  /// Accepts again after a pause: while there is no free descriptor, accept() fails at once.
  void onAcceptFailed();
  void closeExcessHandshakes();
  /// Whether a large frame may be received now. Otherwise the connection waits until its
  /// receiveLargeFrame() is called.
  [[nodiscard]] bool beginLargeFrame(const std::shared_ptr<Connection>& connection,
                                     std::size_t bytes);
  void endLargeFrame(std::size_t bytes);

  asio::io_context& context_;
  const PeerNetworkSettings settings_;
  MessageHandler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::uint32_t, OutboundPeer> m_outboundPeers;  ///< by node number
  std::map<base::NodeId, std::shared_ptr<Connection>> m_inboundConnections;
  std::map<Connection*, std::weak_ptr<Connection>> m_connections;
  std::list<std::weak_ptr<Connection>> m_inboundHandshakes;  ///< oldest first; some have ended
  base::Timer m_acceptRetryTimer;
  std::size_t m_queuedBytes = 0;  ///< of all connections
  std::size_t m_receivingBytes = 0;
  std::deque<std::weak_ptr<Connection>> m_waitingReceivers;  ///< each with a large frame to receive
  bool stopped_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t m_rejectedConnections = 0;
};

}  // namespace tackpick::transport
