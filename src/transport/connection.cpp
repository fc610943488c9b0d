#include "transport/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "base/compression.h"
#include "transport/shared_key.h"

namespace tackpick::transport {
namespace {

constexpr std::size_t kHeaderBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kNonceBytes = 16;
/// Before the peer has proved the key, frames are small.
constexpr std::uint32_t kMaximumHandshakeFrame = 512;
constexpr auto kHandshakeTimeout = std::chrono::milliseconds(600);
constexpr int kUnacknowledgedMillis = 1000;

struct Hello {
  std::string magic;
  std::uint32_t version = 0;
  base::NodeId node;
  base::Bytes nonce;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(magic, version, node, nonce);
  }
};

const std::string kMagic = "tackpick";

}  // namespace

Connection::Connection(PeerNetwork& network, asio::ip::tcp::socket socket, bool dialled,
                       base::NodeId expectedPeer)
    : network_(network),
      socket_(std::move(socket)),
      handshake_timer_(network.context_),
      dialled_(dialled),
      expected_peer_(expectedPeer) {}

void Connection::limitHandshake() {
  handshake_timer_.expires_after(kHandshakeTimeout);
  handshake_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->ready_) {
      self->close();
    }
  });
}

void Connection::start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // A peer behind a silent cut acknowledges nothing: the connection must not outlive it for long.
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket_.set_option(UserTimeout(kUnacknowledgedMillis), ignored);
  own_hello_ = base::encode(
      Hello{kMagic, kProtocolVersion, network_.settings_.self, randomBytes(kNonceBytes)});
  enqueue(own_hello_);
  limitHandshake();
  readHeader();
}

void Connection::readHeader() {
  asio::async_read(socket_, asio::buffer(header_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (error) {
                       self->close();
                       return;
                     }
                     std::uint32_t length = 0;
                     for (std::size_t i = 0; i < kHeaderBytes; ++i) {
                       length |= static_cast<std::uint32_t>(self->header_[i]) << (kBitsPerByte * i);
                     }
                     const std::size_t limit = self->stage_ == Stage::kMessages
                                                   ? self->network_.settings_.maximumFrameBytes
                                                   : kMaximumHandshakeFrame;
                     if (length > limit) {
                       self->refuse();
                       return;
                     }
                     self->readPayload(length);
                   });
}

void Connection::readPayload(std::uint32_t length) {
  payload_.resize(length);
  asio::async_read(socket_, asio::buffer(payload_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (error) {
                       self->close();
                       return;
                     }
                     self->network_.bytes_received_ += self->payload_.size() + kHeaderBytes;
                     self->onFrame();
                     if (!self->closed_) {
                       self->readHeader();
                     }
                   });
}

void Connection::onFrame() {
  switch (stage_) {
    case Stage::kHello:
      onHello();
      break;
    case Stage::kProof:
      onProof();
      break;
    case Stage::kMessages:
      onMessageFrame();
      break;
  }
}

void Connection::onMessageFrame() {
  const auto bytes = base::decompress(payload_, network_.settings_.maximumFrameBytes);
  auto message = bytes ? base::decode<InternalMessage>(*bytes) : std::nullopt;
  if (!message) {
    refuse();
    return;
  }
  network_.handler_(peer_, std::move(*message));
}

void Connection::onHello() {
  // Its few bytes bound what a forged length inside could make the decoder allocate.
  constexpr std::size_t kSmallestHello = 20;
  const auto hello =
      payload_.size() < kSmallestHello ? std::nullopt : base::decode<Hello>(payload_);
  const bool acceptable = hello && hello->magic == kMagic && hello->version == kProtocolVersion &&
                          hello->nonce.size() == kNonceBytes && hello->node.valid() &&
                          (!expected_peer_.valid() ||
                           base::nodeNumber(hello->node) == base::nodeNumber(expected_peer_));
  if (!acceptable) {
    refuse();
    return;
  }
  peer_ = hello->node;
  peer_hello_ = payload_;
  stage_ = Stage::kProof;
  enqueue(proofOf(dialled_));
}

base::Bytes Connection::proofOf(bool ofDialler) const {
  const base::Bytes& diallerHello = dialled_ ? own_hello_ : peer_hello_;
  const base::Bytes& acceptorHello = dialled_ ? peer_hello_ : own_hello_;
  const base::Bytes role = ofDialler ? "dialler" : "acceptor";
  return authenticate(network_.settings_.key, role + diallerHello + acceptorHello);
}

void Connection::onProof() {
  if (!equalSecret(payload_, proofOf(!dialled_))) {
    refuse();
    return;
  }
  stage_ = Stage::kMessages;
  ready_ = true;
  handshake_timer_.cancel();
  network_.onReady(shared_from_this());
}

void Connection::refuse() {
  ++network_.refused_connections_;
  close();
}

void Connection::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  ready_ = false;
  asio::error_code ignored;
  handshake_timer_.cancel(ignored);
  socket_.close(ignored);
  network_.onClosed(shared_from_this());
}

void Connection::send(const base::Bytes& message) {
  if (queued_bytes_ + message.size() <= network_.settings_.maximumQueuedBytes) {
    enqueue(base::compress(message));
  }
}

void Connection::enqueue(const base::Bytes& payload) {
  if (closed_) {
    return;
  }
  base::Bytes frame;
  frame.reserve(kHeaderBytes + payload.size());
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    frame.push_back(static_cast<char>((payload.size() >> (kBitsPerByte * i)) & 0xffU));
  }
  frame += payload;
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (!writing_) {
    writeNext();
  }
}

void Connection::writeNext() {
  if (queue_.empty() || closed_) {
    writing_ = false;
    return;
  }
  writing_ = true;
  std::vector<asio::const_buffer> buffers;
  std::size_t total = 0;
  constexpr std::size_t kBuffersPerWrite = 64;
  auto batch = std::make_shared<std::vector<base::Bytes>>();
  while (!queue_.empty() && batch->size() < kBuffersPerWrite) {
    batch->push_back(std::move(queue_.front()));
    queue_.pop_front();
    total += batch->back().size();
  }
  for (const base::Bytes& bytes : *batch) {
    buffers.emplace_back(asio::buffer(bytes));
  }
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), batch, total](const asio::error_code& error, std::size_t) {
        self->queued_bytes_ -= total;
        self->network_.bytes_sent_ += total;
        if (error) {
          self->writing_ = false;
          self->close();
          return;
        }
        self->writeNext();
      });
}

}  // namespace tackpick::transport
