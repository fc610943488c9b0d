/// Tests of backpressure and of the limits on unread responses.
#include "http/stream_relay.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

#include "http/loopback.h"

namespace base = tackpick::base;
namespace http = tackpick::http;
using tackpick::test::RawPeer;
using tackpick::test::runUntil;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t kChunkBytes = 64U << 10U;
/// Enough data to fill the socket buffers of both sides.
constexpr std::size_t kChunkCount = 512;

/// A server that collects exchanges in `pendingExchanges`.
struct ServerFixture {
  explicit ServerFixture(const http::ExchangeLimits& limits = {})
      : server(context, "127.0.0.1", 0, limits,
               [this](const http::RawRequest&, std::shared_ptr<http::Exchange> exchange) {
                 pendingExchanges.push_back(std::move(exchange));
               }) {}

  bool waitForExchanges(std::size_t count) {
    return runUntil(context, [&] { return pendingExchanges.size() >= count; });
  }
  void runFor(std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  asio::io_context context;
  std::vector<std::shared_ptr<http::Exchange>> pendingExchanges;
  http::ExchangeServer server;
};

/// A stream from an upstream server to a caller through a relay.
struct RelayedStream : ServerFixture {
  RelayedStream()
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        client(context, {}),
        caller(context, server.port()) {
    caller.send(kGet);
    waitForExchanges(1);
    http::UpstreamRequest request;
    request.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    http::UpstreamEvents events;
    events.onHead = [this](int status, const http::HeaderList& headers) {
      relay = std::make_shared<http::StreamRelay>(client, exchange, pendingExchanges[0]);
      relay->begin(status, headers);
    };
    events.onData = [this](std::string_view data) {
      pauseCount += relay->forwardData(data) ? 1 : 0;
    };
    events.onEnd = [this](const http::UpstreamResult& result) {
      end = result;
      pendingExchanges[0]->finish();
    };
    exchange = client.start(std::move(request), std::move(events));
    std::optional<asio::ip::tcp::socket> accepted;
    acceptor.async_accept([&](const asio::error_code&, asio::ip::tcp::socket socket) {
      accepted.emplace(std::move(socket));
    });
    runUntil(context, [&] { return accepted.has_value(); });
    upstream.emplace(context, std::move(*accepted));
    upstream->readUntil("\r\n\r\n");
  }

  asio::ip::tcp::acceptor acceptor;
  http::UpstreamClient client;
  RawPeer caller;
  std::optional<RawPeer> upstream;
  http::ExchangeId exchange;
  std::shared_ptr<http::StreamRelay> relay;
  std::optional<http::UpstreamResult> end;
  int pauseCount = 0;
};

}  // namespace

Test(stream_relay, caller_that_does_not_read_pauses_the_upstream) {
  RelayedStream stream;
  const std::string body(kChunkCount * kChunkBytes, 'x');
  asio::async_write(stream.upstream->socket(),
                    asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n"),
                    [](const asio::error_code&, std::size_t) {});
  asio::async_write(stream.upstream->socket(), asio::buffer(body),
                    [](const asio::error_code&, std::size_t) {});
  stream.runFor(std::chrono::milliseconds(300));
  cr_assert_geq(stream.pauseCount, 1);
  cr_assert_not(stream.end.has_value());
  cr_assert_leq(stream.pendingExchanges[0]->unsentBytes(),
                http::StreamRelay::kMaxUnsent + 2 * kChunkBytes);
  // The caller starts to read and receives the complete response.
  const std::string received = stream.caller.readUntil("\r\n0\r\n\r\n");
  cr_assert(stream.end.has_value() && stream.end->complete);
  cr_assert_geq(received.size(), body.size());
  cr_assert_eq(stream.server.unreadResponses().disconnectCount, 0U);
}

Test(stream_relay, caller_that_reads_does_not_pause_the_upstream) {
  RelayedStream stream;
  stream.upstream->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    stream.upstream->send("5\r\nevent\r\n");
  }
  stream.upstream->send("0\r\n\r\n");
  stream.caller.readUntil("\r\n0\r\n\r\n");
  cr_assert_eq(stream.pauseCount, 0);
  cr_assert(stream.end.has_value() && stream.end->complete);
}

Test(unread_answers, stream_over_the_limit_is_aborted_and_incomplete) {
  http::ExchangeLimits limits;
  limits.maxUnsentBytes = 1U << 20U;
  ServerFixture fixture(limits);
  RawPeer caller(fixture.context, fixture.server.port());
  caller.send(kGet);
  cr_assert(fixture.waitForExchanges(1));
  bool closed = false;
  fixture.pendingExchanges[0]->onClosed([&] { closed = true; });
  fixture.pendingExchanges[0]->begin(200, {});
  std::size_t peakUnreadBytes = 0;
  for (std::size_t i = 0; i < kChunkCount && !closed; ++i) {
    fixture.pendingExchanges[0]->write(std::string(kChunkBytes, 'x'));
    peakUnreadBytes = std::max(peakUnreadBytes, fixture.server.unreadResponses().bytes);
    fixture.runFor(std::chrono::milliseconds(1));
  }
  cr_assert(closed);
  cr_assert_leq(peakUnreadBytes, limits.maxUnsentBytes + 2 * kChunkBytes);
  cr_assert_eq(fixture.server.unreadResponses().disconnectCount, 1U);
  cr_assert_eq(fixture.server.unreadResponses().bytes, 0U);
  cr_assert_eq(fixture.server.openExchanges(), 0U);
  cr_assert(caller.waitClosed());
  cr_assert_eq(caller.received().find("0\r\n\r\n"), std::string::npos);
}

// Guards against a caller that requests any number of responses without reading them.
Test(unread_answers, no_request_is_accepted_while_responses_are_unread) {
  http::ExchangeLimits limits;
  limits.maxUnsentBytes = kChunkBytes;
  ServerFixture fixture(limits);
  RawPeer caller(fixture.context, fixture.server.port());
  constexpr std::size_t kRequests = 40;
  for (std::size_t i = 0; i < kRequests; ++i) {
    caller.send(kGet);
  }
  std::size_t answered = 0;
  const std::string body(1U << 20U, 'x');
  const auto answerAll = [&] {
    for (; answered < fixture.pendingExchanges.size(); ++answered) {
      fixture.pendingExchanges[answered]->respond(200, {}, body);
    }
  };
  for (int i = 0; i < 50; ++i) {
    fixture.runFor(std::chrono::milliseconds(2));
    answerAll();
  }
  cr_assert_lt(answered, kRequests);
  cr_assert_leq(fixture.server.unreadResponses().bytes, 2 * body.size() + kChunkBytes);
  // The caller starts to read, and each request gets its response.
  const bool all = runUntil(fixture.context, [&] {
    answerAll();
    caller.readSome();
    return answered == kRequests && caller.received().size() > kRequests * body.size();
  });
  cr_assert(all);
  cr_assert_eq(fixture.server.unreadResponses().bytes, 0U);
}

Test(unread_answers, total_is_limited_and_the_longest_stalled_is_aborted) {
  http::ExchangeLimits limits;
  limits.maxTotalUnsentBytes = 40U << 20U;
  limits.minStallTime = base::milliseconds(20);
  ServerFixture fixture(limits);
  const std::string body(16U << 20U, 'x');
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (std::size_t i = 0; i < 6; ++i) {
    callers.push_back(std::make_unique<RawPeer>(fixture.context, fixture.server.port()));
    callers.back()->send(kGet);
    cr_assert(fixture.waitForExchanges(i + 1));
    fixture.pendingExchanges[i]->respond(200, {}, body);
    fixture.runFor(std::chrono::milliseconds(40));
    cr_assert_leq(fixture.server.unreadResponses().bytes, limits.maxTotalUnsentBytes);
  }
  cr_assert_eq(fixture.server.unreadResponses().disconnectCount, 4U);
  cr_assert(callers[0]->waitClosed());
  cr_assert_lt(callers[0]->received().size(), body.size());
  const bool allReceived = runUntil(fixture.context, [&] {
    callers[5]->readSome();
    return callers[5]->received().size() > body.size();
  });
  cr_assert(allReceived, "the caller that reads receives its response");
  cr_assert_eq(fixture.server.openConnections(), 2U);
}

// Guards against an exchange that is never closed because its connection was aborted while the
// request was parsed.
Test(unread_answers, connection_aborted_during_parsing_accepts_no_request) {
  http::ExchangeLimits limits;
  limits.maxTotalUnsentBytes = 1U << 20U;
  limits.maxUnsentBytes = 64U << 20U;
  limits.minStallTime = base::milliseconds(500);
  ServerFixture fixture(limits);
  RawPeer caller(fixture.context, fixture.server.port());
  caller.send(kGet);
  cr_assert(fixture.waitForExchanges(1));
  fixture.pendingExchanges[0]->respond(200, {}, std::string(16U << 20U, 'x'));
  fixture.runFor(std::chrono::milliseconds(600));
  caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx");
  fixture.runFor(std::chrono::milliseconds(60));
  cr_assert_eq(fixture.server.unreadResponses().disconnectCount, 1U);
  cr_assert_eq(fixture.pendingExchanges.size(), 1U);
  fixture.pendingExchanges.clear();
  cr_assert_eq(fixture.server.openExchanges(), 0U);
}
