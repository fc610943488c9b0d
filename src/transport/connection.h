/// \file
/// One internal connection: handshake, frames, bounded send queue.
#pragma once

#include <array>
#include <asio.hpp>
#include <deque>
#include <memory>

#include "base/timer.h"
#include "transport/peer_network.h"

namespace tackpick::transport {

/// Frames are `[length u32 little endian][payload]`. The first frame of each side is a Hello, the
/// second a Proof over both Hellos; only then follow messages (see base/compression.h). Lives as
/// long as its asynchronous operations.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(PeerNetwork& network, asio::ip::tcp::socket socket, bool dialled,
             base::NodeId expectedPeer);

  /// Closes the connection unless both ends have proved themselves soon.
  void limitHandshake();
  void start();
  void send(const base::Bytes& message);
  void close();
  [[nodiscard]] bool isReady() const { return ready_; }
  [[nodiscard]] bool isDialled() const { return dialled_; }
  [[nodiscard]] base::NodeId peer() const { return peer_; }
  [[nodiscard]] asio::ip::tcp::socket& socket() { return socket_; }
  [[nodiscard]] base::NodeId expectedPeer() const { return expected_peer_; }

 private:
  enum class Stage { kHello, kProof, kMessages };

  void readHeader();
  void readPayload(std::uint32_t length);
  void onFrame();
  void onMessageFrame();
  void onHello();
  void onProof();
  void refuse();
  void enqueue(const base::Bytes& payload);
  void writeNext();
  [[nodiscard]] base::Bytes proofOf(bool ofDialler) const;

  PeerNetwork& network_;
  asio::ip::tcp::socket socket_;
  base::Timer handshake_timer_;
  const bool dialled_;
  const base::NodeId expected_peer_;
  base::NodeId peer_;
  Stage stage_ = Stage::kHello;
  bool ready_ = false;
  bool closed_ = false;
  base::Bytes own_hello_;
  base::Bytes peer_hello_;
  std::array<unsigned char, 4> header_{};
  base::Bytes payload_;
  std::deque<base::Bytes> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
};

}  // namespace tackpick::transport
