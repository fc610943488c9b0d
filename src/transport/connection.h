/// \file
/// A connection between two processes of the cluster.
#pragma once

#include <array>
#include <asio.hpp>
#include <deque>
#include <memory>

#include "base/timer.h"
#include "transport/peer_network.h"

namespace tackpick::transport {

/// A connection between two processes, with handshake, framing and a bounded send queue. Frames are
/// `[length u32 little endian][payload]`. The first frame of each side is a Hello, the second an
/// authentication tag over both Hellos. All later frames are compressed messages, see
/// base/compression.h. Pending asynchronous operations keep the connection alive.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(PeerNetwork& network, asio::ip::tcp::socket socket, bool isOutbound,
             base::NodeId expectedPeer);

  /// Starts a timer that closes the connection unless the handshake completes in time.
  void startHandshakeTimer();
  void start();
  void send(const base::Bytes& message);
  void close();
  /// Receives the large frame whose header was received, or waits again if there is no room for it.
  void receiveLargeFrame();
  [[nodiscard]] bool isAuthenticated() const { return m_authenticated; }
  [[nodiscard]] bool isOutboundConnection() const { return m_isOutbound; }
  [[nodiscard]] base::NodeId peer() const { return peer_; }
  [[nodiscard]] asio::ip::tcp::socket& socket() { return socket_; }
  [[nodiscard]] base::NodeId expectedPeer() const { return expected_peer_; }

 private:
  enum class Stage { kHello, kAuthTag, kMessages };

  void readHeader();
  void readPayload(std::uint32_t length);
  /// Releases the memory of the payload and the room that a large frame took.
  void releasePayload();
  void onFrame();
  void onMessageFrame();
  void onHello();
  void onAuthTag();
  void reject();
  void enqueue(base::Bytes payload);
  void writeNext();
  void removeQueued(std::size_t bytes);
  [[nodiscard]] base::Bytes computeAuthTag(bool ofInitiator) const;

  PeerNetwork& network_;
  asio::ip::tcp::socket socket_;
  base::Timer handshake_timer_;
  const bool m_isOutbound;
  const base::NodeId expected_peer_;
  base::NodeId peer_;
  Stage stage_ = Stage::kHello;
  bool m_authenticated = false;
  bool closed_ = false;
  base::Bytes m_localHello;
  base::Bytes peer_hello_;
  std::array<unsigned char, 4> header_{};
  base::Bytes payload_;
  std::uint32_t m_largeFrameBytes = 0;  ///< announced size; zero: the frame is not large
  bool m_receivingLargeFrame = false;   ///< has room in the network's limit
  base::Timer m_largeFrameTimer;
  std::deque<base::Bytes> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
};

}  // namespace tackpick::transport
