/// Tests of the limits of connections between processes.
#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "http/loopback.h"
#include "transport/peer_network.h"

namespace base = tackpick::base;
namespace transport = tackpick::transport;
using tackpick::test::RawPeer;
using tackpick::test::runUntil;

namespace {

constexpr base::NodeId kServer = base::makeNodeId(1, 1);

transport::PeerNetworkSettings settingsOf(base::NodeId self) {
  transport::PeerNetworkSettings settings;
  settings.self = self;
  settings.key = "a key for this test";
  settings.listen = {"127.0.0.1", 0};
  return settings;
}

/// A peer that connects to `port` as node `number`.
std::unique_ptr<transport::PeerNetwork> makePeer(asio::io_context& context, std::uint32_t number,
                                                 std::uint16_t port) {
  transport::PeerNetworkSettings settings = settingsOf(base::makeNodeId(number, 1));
  settings.peers[base::nodeNumber(kServer)] = {"127.0.0.1", port};
  return std::make_unique<transport::PeerNetwork>(
      context, settings, [](base::NodeId, const transport::InternalMessage&) {});
}

transport::InternalMessage message(std::size_t bytes) {
  transport::CommandRequest request;
  request.group = base::GroupId{1};
  request.payload.resize(bytes);
  for (std::size_t i = 0; i < bytes; ++i) {
    request.payload[i] = static_cast<char>((i * 2654435761U) >> 13U);
  }
  return request;
}

}  // namespace

Test(peer_network_limits, silent_connections_leave_room_for_a_peer) {
  constexpr std::size_t kMaxHandshakes = 8;
  asio::io_context context;
  transport::PeerNetworkSettings settings = settingsOf(kServer);
  settings.maxInboundHandshakes = kMaxHandshakes;
  std::size_t received = 0;
  transport::PeerNetwork server(
      context, settings, [&](base::NodeId, const transport::InternalMessage&) { ++received; });
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (std::size_t i = 0; i < 3 * kMaxHandshakes; ++i) {
    silent.push_back(std::make_unique<RawPeer>(context, server.port()));
  }
  cr_assert(runUntil(context, [&] { return server.rejectedConnections() == 2 * kMaxHandshakes; }));
  const auto peer = makePeer(context, 2, server.port());
  cr_assert(runUntil(context, [&] {
    peer->send(kServer, message(100));
    return received > 0;
  }));
}

Test(peer_network_limits, large_messages_that_do_not_fit_together_are_received_in_turn) {
  constexpr std::size_t kBytes = 3U << 20U;
  asio::io_context context;
  transport::PeerNetworkSettings settings = settingsOf(kServer);
  settings.maxReceivingBytes = kBytes;
  std::size_t received = 0;
  transport::PeerNetwork server(
      context, settings, [&](base::NodeId, const transport::InternalMessage& sent) {
        const auto* request = std::get_if<transport::CommandRequest>(&sent);
        received += request != nullptr && request->payload.size() == kBytes ? 1 : 0;
      });
  constexpr std::uint32_t kPeers = 4;
  std::vector<std::unique_ptr<transport::PeerNetwork>> peers;
  for (std::uint32_t i = 0; i < kPeers; ++i) {
    peers.push_back(makePeer(context, 2 + i, server.port()));
    peers.back()->send(kServer, message(100));
  }
  context.run_for(std::chrono::milliseconds(200));
  for (const auto& peer : peers) {
    peer->send(kServer, message(kBytes));
  }
  cr_assert(runUntil(context, [&] { return received == kPeers; }), "%zu received", received);
}
