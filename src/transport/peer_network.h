/// \file
/// Connections between the system's own processes: framed messages over TCP.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "transport/internal_messages.h"

namespace tackpick::transport {

/// Where a process listens.
struct Endpoint {
  std::string host;  ///< an IP number
  std::uint16_t port = 0;
};

/// Knobs of PeerNetwork.
struct PeerNetworkSettings {
  base::NodeId self;
  base::Bytes key;                          ///< shared by all processes of the cluster
  Endpoint listen;                          ///< port 0: chosen by the operating system
  std::map<std::uint32_t, Endpoint> peers;  ///< by node number
  /// Where nodes listen whose number is their IPv4 address; 0: only `peers` have addresses.
  std::uint16_t derivedPeerPort = 0;
  std::size_t maximumFrameBytes = 64U << 20U;
  /// Messages to a peer that does not take them are dropped beyond this; all protocols above
  /// resend.
  std::size_t maximumQueuedBytes = 128U << 20U;
  /// Kept for a peer while the connection to it is being made.
  std::size_t maximumPendingBytes = 1U << 20U;
  base::Duration minBackoff = base::milliseconds(50);
  base::Duration maxBackoff = base::milliseconds(200);
  /// Called with the number of a node when a connection to or from it breaks or is not made.
  std::function<void(std::uint32_t number)> onConnectionLost;
};

class Connection;

/// Sends over the connection that the peer dialled when there is one, else over one that it dials
/// to the known address of the peer's node number. Messages may be lost whenever a
/// connection breaks. Before any message is read, both ends prove the shared key and agree on the
/// protocol version. Runs on the thread of its io_context.
class PeerNetwork {
 public:
  using MessageHandler = std::function<void(base::NodeId from, InternalMessage message)>;

  PeerNetwork(asio::io_context& context, PeerNetworkSettings settings, MessageHandler handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  void send(base::NodeId to, const InternalMessage& message);
  [[nodiscard]] std::uint16_t port() const;
  void stop();

  [[nodiscard]] std::uint64_t bytesSent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t bytesReceived() const { return bytes_received_; }
  /// Connections refused for a wrong key, version or frame.
  [[nodiscard]] std::uint64_t refusedConnections() const { return refused_connections_; }

 private:
  friend class Connection;
  struct Dialled {
    std::shared_ptr<Connection> connection;
    base::Duration backoff{0};
    bool waiting = false;
    std::vector<base::Bytes> pending;  ///< to be sent once connected
    std::size_t pendingBytes = 0;
    std::shared_ptr<base::Timer> timer;
  };

  [[nodiscard]] std::optional<Endpoint> addressOf(std::uint32_t number) const;
  void accept();
  void dial(std::uint32_t number);
  void onReady(const std::shared_ptr<Connection>& connection);
  void onClosed(const std::shared_ptr<Connection>& connection);

  asio::io_context& context_;
  const PeerNetworkSettings settings_;
  MessageHandler handler_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::uint32_t, Dialled> dialled_;  ///< by node number
  std::map<base::NodeId, std::shared_ptr<Connection>> accepted_;
  std::map<Connection*, std::weak_ptr<Connection>> all_;
  bool stopped_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t refused_connections_ = 0;
};

}  // namespace tackpick::transport
