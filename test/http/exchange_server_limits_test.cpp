/// Tests of the limits that apply to all connections of a server together.
#include <criterion/criterion.h>
#include <sys/resource.h>

#include <memory>
#include <vector>

#include "http/exchange_server.h"
#include "http/loopback.h"

namespace base = tackpick::base;
namespace http = tackpick::http;
using tackpick::test::RawPeer;
using tackpick::test::runUntil;

namespace {

constexpr std::size_t kLongBody = 128U << 10U;

/// A server that keeps its exchanges until the test drops them.
struct Fixture {
  explicit Fixture(const http::ExchangeLimits& limits = {})
      : server(context, "127.0.0.1", 0, limits,
               [this](http::RawRequest request, std::shared_ptr<http::Exchange> exchange) {
                 requests.push_back(std::move(request));
                 exchanges.push_back(std::move(exchange));
               }) {}

  bool waitFor(const std::function<bool()>& condition) { return runUntil(context, condition); }
  [[nodiscard]] std::uint64_t shed(http::ShedReason reason) const {
    return server.load().shed[static_cast<std::size_t>(reason)];
  }

  asio::io_context context;
  std::vector<http::RawRequest> requests;
  std::vector<std::shared_ptr<http::Exchange>> exchanges;
  http::ExchangeServer server;
};

std::string head(std::size_t bodyBytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// Limits with room for one long body of kLongBody bytes, but not for two.
http::ExchangeLimits oneLongBody() {
  http::ExchangeLimits limits;
  limits.maxRequestBytes = 2 * kLongBody;
  limits.minStallTime = base::milliseconds(50);
  return limits;
}

const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

Test(exchange_server_limits, long_body_without_memory_is_rejected_before_it_is_read) {
  Fixture fixture(oneLongBody());
  RawPeer first(fixture.context, fixture.server.port());
  first.send(head(kLongBody) + "x");
  cr_assert(fixture.waitFor([&] { return fixture.server.load().requestBytes == kLongBody; }));
  RawPeer second(fixture.context, fixture.server.port());
  second.send(head(kLongBody));
  const std::string response = second.readUntil("\r\n\r\n");
  cr_assert(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
  cr_assert_neq(response.find("Retry-After: "), std::string::npos);
  cr_assert_eq(fixture.shed(http::ShedReason::kNoMemory), 1U);
}

Test(exchange_server_limits, stalled_long_body_is_given_up_for_another_one) {
  Fixture fixture(oneLongBody());
  RawPeer stalled(fixture.context, fixture.server.port());
  stalled.send(head(kLongBody) + "x");
  cr_assert(fixture.waitFor([&] { return fixture.server.load().requestBytes == kLongBody; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  RawPeer second(fixture.context, fixture.server.port());
  second.send(head(kLongBody) + std::string(kLongBody, 'y'));
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
  cr_assert_eq(fixture.requests[0].body, std::string(kLongBody, 'y'));
  cr_assert(stalled.readUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
  cr_assert_eq(fixture.shed(http::ShedReason::kSlowBody), 1U);
}

Test(exchange_server_limits, memory_of_a_request_is_held_until_its_exchange_is_destroyed) {
  Fixture fixture(oneLongBody());
  RawPeer peer(fixture.context, fixture.server.port());
  peer.send(head(kLongBody) + std::string(kLongBody, 'x'));
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
  fixture.exchanges[0]->respond(200, {}, "done");
  cr_assert_geq(fixture.server.load().requestBytes, kLongBody);
  cr_assert_not(fixture.exchanges[0]->reserveMemory(2 * kLongBody));
  fixture.exchanges.clear();
  cr_assert_eq(fixture.server.load().requestBytes, 0U);
}

Test(exchange_server_limits, body_in_chunks_is_received_within_half_more_than_its_size) {
  http::ExchangeLimits limits;
  limits.maxBodyBytes = 4 * kLongBody;
  Fixture fixture(limits);
  RawPeer peer(fixture.context, fixture.server.port());
  peer.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string piece(8192, 'x');
  std::size_t sent = 0;
  for (; sent < 2 * kLongBody; sent += piece.size()) {
    peer.send("2000\r\n" + piece + "\r\n");
    fixture.context.restart();
    fixture.context.poll();
  }
  peer.send("0\r\n\r\n");
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
  cr_assert_eq(fixture.requests[0].body.size(), sent);
  cr_assert_leq(fixture.requests[0].body.capacity(), sent + sent / 2);
}

Test(exchange_server_limits, silent_connection_is_closed_for_a_new_one) {
  http::ExchangeLimits limits;
  limits.maxConnections = 2;
  Fixture fixture(limits);
  RawPeer busy(fixture.context, fixture.server.port());
  busy.send(kGet);
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
  RawPeer silent(fixture.context, fixture.server.port());
  cr_assert(fixture.waitFor([&] { return fixture.server.openConnections() == 2; }));
  RawPeer next(fixture.context, fixture.server.port());
  next.send(kGet);
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 2; }));
  cr_assert(silent.waitClosed());
  cr_assert_eq(fixture.server.openConnections(), 2U);
  cr_assert_eq(fixture.shed(http::ShedReason::kConnections), 1U);
}

Test(exchange_server_limits, connection_with_a_request_is_not_closed_for_a_new_one) {
  http::ExchangeLimits limits;
  limits.maxConnections = 1;
  Fixture fixture(limits);
  RawPeer busy(fixture.context, fixture.server.port());
  busy.send(kGet);
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
  RawPeer next(fixture.context, fixture.server.port());
  cr_assert(next.waitClosed());
  fixture.exchanges[0]->respond(200, {}, "done");
  cr_assert(busy.readUntil("done").ends_with("done"));
}

Test(exchange_server_limits, unfinished_requests_over_the_limit_lose_the_most_silent_connection) {
  http::ExchangeLimits limits;
  limits.maxUnfinishedBytes = 16U << 10U;
  Fixture fixture(limits);
  const std::string unfinished = "GET / HTTP/1.1\r\nX: " + std::string(6000, 'x');
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 4; ++i) {
    peers.push_back(std::make_unique<RawPeer>(fixture.context, fixture.server.port()));
    peers.back()->send(unfinished);
    const auto count = static_cast<std::size_t>(i) + 1;
    cr_assert(fixture.waitFor([&] {
      return fixture.server.load().unfinishedBytes >= std::min<std::size_t>(count, 2) * 6000 ||
             fixture.shed(http::ShedReason::kSilent) > 0;
    }));
  }
  cr_assert(fixture.waitFor([&] { return fixture.shed(http::ShedReason::kSilent) > 0; }));
  cr_assert(peers.front()->waitClosed());
  cr_assert_leq(fixture.server.load().unfinishedBytes, limits.maxUnfinishedBytes);
  peers.back()->send("\r\n\r\n");
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
}

Test(exchange_server_limits, rejected_client_that_still_sends_receives_the_response) {
  http::ExchangeLimits limits;
  limits.maxBodyBytes = 1000;
  Fixture fixture(limits);
  RawPeer peer(fixture.context, fixture.server.port());
  peer.send(head(1U << 20U));
  const std::string piece(8192, 'x');
  for (int i = 0; i < 50; ++i) {
    peer.send(piece);
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(1));
  }
  cr_assert(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 413"));
  cr_assert(peer.waitClosed());
  cr_assert_not(peer.wasReset());
}

Test(exchange_server_limits, accept_without_a_free_descriptor_is_not_repeated_at_once) {
  Fixture fixture;
  RawPeer peer(fixture.context, fixture.server.port());
  rlimit none{};
  getrlimit(RLIMIT_NOFILE, &none);
  none.rlim_cur = 3;
  setrlimit(RLIMIT_NOFILE, &none);
  fixture.context.restart();
  fixture.context.run_for(std::chrono::milliseconds(200));
  const std::uint64_t failures = fixture.shed(http::ShedReason::kNoDescriptor);
  cr_assert_geq(failures, 1U);
  cr_assert_leq(failures, 20U);
  none.rlim_cur = none.rlim_max;
  setrlimit(RLIMIT_NOFILE, &none);
  peer.send(kGet);
  cr_assert(fixture.waitFor([&] { return fixture.requests.size() == 1; }));
}
