#include "transport/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "base/compression.h"
#include "base/release_memory.h"
#include "transport/shared_key.h"

namespace tackpick::transport {
namespace {

constexpr std::size_t kHeaderBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kNonceBytes = 16;
/// Maximum size of a frame before the peer is authenticated.
constexpr std::uint32_t kMaxHandshakeFrameBytes = 512;
constexpr auto kHandshakeTimeout = std::chrono::milliseconds(600);
constexpr int kTcpUserTimeoutMs = 1000;
/// Size above which frames share the network's limit for received messages.
constexpr std::uint32_t kLargeFrameBytes = 1U << 20U;
/// Time in which a large frame must arrive, so that a peer that stops sending frees its room.
constexpr auto kLargeFrameTimeout = std::chrono::seconds(10);

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

Connection::Connection(PeerNetwork& network, asio::ip::tcp::socket socket, bool isOutbound,
                       base::NodeId expectedPeer)
    : network_(network),
      socket_(std::move(socket)),
      handshake_timer_(network.context_),
      m_isOutbound(isOutbound),
      expected_peer_(expectedPeer),
      m_largeFrameTimer(network.context_) {}

void Connection::startHandshakeTimer() {
  handshake_timer_.expires_after(kHandshakeTimeout);
  handshake_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->m_authenticated) {
      self->close();
    }
  });
}

void Connection::start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Closes the connection if the peer becomes unreachable and stops acknowledging data.
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket_.set_option(UserTimeout(kTcpUserTimeoutMs), ignored);
  m_localHello = base::encode(
      Hello{kMagic, kProtocolVersion, network_.settings_.self, randomBytes(kNonceBytes)});
  enqueue(m_localHello);
  startHandshakeTimer();
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
                                                   ? self->network_.settings_.maxFrameBytes
                                                   : kMaxHandshakeFrameBytes;
                     if (length > limit) {
                       self->reject();
                       return;
                     }
                     if (length > kLargeFrameBytes) {
                       self->m_largeFrameBytes = length;
                       self->receiveLargeFrame();
                     } else {
                       self->readPayload(length);
                     }
                   });
}

void Connection::receiveLargeFrame() {
  if (closed_ || !network_.beginLargeFrame(shared_from_this(), m_largeFrameBytes)) {
    return;
  }
  m_receivingLargeFrame = true;
  m_largeFrameTimer.expires_after(kLargeFrameTimeout);
  m_largeFrameTimer.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && self->m_receivingLargeFrame) {
      self->close();
    }
  });
  readPayload(m_largeFrameBytes);
}

void Connection::releasePayload() {
  if (payload_.capacity() > kLargeFrameBytes) {
    base::releaseMemory(payload_);
  }
  if (m_receivingLargeFrame) {
    m_receivingLargeFrame = false;
    m_largeFrameTimer.cancel();
    network_.endLargeFrame(m_largeFrameBytes);
  }
  m_largeFrameBytes = 0;
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
                       self->releasePayload();
                       self->readHeader();
                     }
                   });
}

void Connection::onFrame() {
  switch (stage_) {
    case Stage::kHello:
      onHello();
      break;
    case Stage::kAuthTag:
      onAuthTag();
      break;
    case Stage::kMessages:
      onMessageFrame();
      break;
  }
}

void Connection::onMessageFrame() {
  auto bytes = base::decompress(payload_, network_.settings_.maxFrameBytes);
  releasePayload();
  auto message = bytes ? base::decode<InternalMessage>(*bytes) : std::nullopt;
  bytes = std::nullopt;
  if (!message) {
    reject();
    return;
  }
  network_.handler_(peer_, std::move(*message));
}

void Connection::onHello() {
  // Rejects frames that are too short to contain a valid Hello.
  constexpr std::size_t kMinHelloBytes = 20;
  const auto hello =
      payload_.size() < kMinHelloBytes ? std::nullopt : base::decode<Hello>(payload_);
  const bool acceptable = hello && hello->magic == kMagic && hello->version == kProtocolVersion &&
                          hello->nonce.size() == kNonceBytes && hello->node.valid() &&
                          (!expected_peer_.valid() ||
                           base::nodeNumber(hello->node) == base::nodeNumber(expected_peer_));
  if (!acceptable) {
    reject();
    return;
  }
  peer_ = hello->node;
  peer_hello_ = payload_;
  stage_ = Stage::kAuthTag;
  enqueue(computeAuthTag(m_isOutbound));
}

base::Bytes Connection::computeAuthTag(bool ofInitiator) const {
  const base::Bytes& initiatorHello = m_isOutbound ? m_localHello : peer_hello_;
  const base::Bytes& responderHello = m_isOutbound ? peer_hello_ : m_localHello;
  const base::Bytes role = ofInitiator ? "dialler" : "acceptor";
  return hmacSha256(network_.settings_.key, role + initiatorHello + responderHello);
}

void Connection::onAuthTag() {
  if (!constantTimeEquals(payload_, computeAuthTag(!m_isOutbound))) {
    reject();
    return;
  }
  stage_ = Stage::kMessages;
  m_authenticated = true;
  handshake_timer_.cancel();
  network_.onAuthenticated(shared_from_this());
}

void Connection::reject() {
  ++network_.m_rejectedConnections;
  close();
}

void Connection::close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  m_authenticated = false;
  releasePayload();
  removeQueued(queued_bytes_);
  asio::error_code ignored;
  handshake_timer_.cancel(ignored);
  socket_.close(ignored);
  network_.onClosed(shared_from_this());
}

void Connection::send(const base::Bytes& message) {
  const bool fits = network_.m_queuedBytes + message.size() <= network_.settings_.maxQueuedBytes;
  if (fits || queued_bytes_ == 0) {
    enqueue(base::compress(message));
  }
}

void Connection::enqueue(base::Bytes payload) {
  if (closed_) {
    return;
  }
  base::Bytes header;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    header.push_back(static_cast<char>((payload.size() >> (kBitsPerByte * i)) & 0xffU));
  }
  base::Bytes frame = std::move(payload);
  frame.insert(0, header);
  queued_bytes_ += frame.size();
  network_.m_queuedBytes += frame.size();
  queue_.push_back(std::move(frame));
  if (!writing_) {
    writeNext();
  }
}

void Connection::removeQueued(std::size_t bytes) {
  const std::size_t counted = std::min(queued_bytes_, bytes);
  queued_bytes_ -= counted;
  network_.m_queuedBytes -= counted;
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
        self->removeQueued(total);
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
