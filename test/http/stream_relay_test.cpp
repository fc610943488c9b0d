/// What is held for callers that do not read their answers.
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
constexpr std::size_t kPiece = 64U << 10U;
/// More than the sockets of both sides take.
constexpr std::size_t kPieces = 512;

/// A server in front of callers; its requests wait in `open`.
struct Front {
  explicit Front(const http::ExchangeLimits& limits = {})
      : server(context, "127.0.0.1", 0, limits,
               [this](const http::RawRequest&, std::shared_ptr<http::Exchange> exchange) {
                 open.push_back(std::move(exchange));
               }) {}

  bool waitOpen(std::size_t count) {
    return runUntil(context, [&] { return open.size() >= count; });
  }
  void runFor(std::chrono::milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  asio::io_context context;
  std::vector<std::shared_ptr<http::Exchange>> open;
  http::ExchangeServer server;
};

/// A stream from an upstream server, through a relay, to a caller.
struct RelayedStream : Front {
  RelayedStream()
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        client(context, {}),
        caller(context, server.port()) {
    caller.send(kGet);
    waitOpen(1);
    http::UpstreamRequest request;
    request.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    http::UpstreamEvents events;
    events.onHead = [this](int status, const http::HeaderList& headers) {
      relay = std::make_shared<http::StreamRelay>(client, exchange, open[0]);
      relay->begin(status, headers);
    };
    events.onData = [this](std::string_view data) { held += relay->pass(data) ? 1 : 0; };
    events.onEnd = [this](const http::UpstreamResult& result) {
      end = result;
      open[0]->finish();
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
  int held = 0;
};

}  // namespace

Test(stream_relay, caller_that_does_not_read_holds_its_server_back) {
  RelayedStream stream;
  const std::string body(kPieces * kPiece, 'x');
  asio::async_write(stream.upstream->socket(),
                    asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n"),
                    [](const asio::error_code&, std::size_t) {});
  asio::async_write(stream.upstream->socket(), asio::buffer(body),
                    [](const asio::error_code&, std::size_t) {});
  stream.runFor(std::chrono::milliseconds(300));
  cr_assert_geq(stream.held, 1);
  cr_assert_not(stream.end.has_value());
  cr_assert_leq(stream.open[0]->unsentBytes(), http::StreamRelay::kMaxUnsent + 2 * kPiece);
  // The caller reads after all: it gets the whole answer.
  const std::string received = stream.caller.readUntil("\r\n0\r\n\r\n");
  cr_assert(stream.end.has_value() && stream.end->complete);
  cr_assert_geq(received.size(), body.size());
  cr_assert_eq(stream.server.unreadResponses().disconnectCount, 0U);
}

Test(stream_relay, caller_that_reads_is_not_held_back) {
  RelayedStream stream;
  stream.upstream->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20; ++i) {
    stream.upstream->send("5\r\nevent\r\n");
  }
  stream.upstream->send("0\r\n\r\n");
  stream.caller.readUntil("\r\n0\r\n\r\n");
  cr_assert_eq(stream.held, 0);
  cr_assert(stream.end.has_value() && stream.end->complete);
}

Test(unread_answers, stream_beyond_the_bound_is_cut_and_does_not_look_complete) {
  http::ExchangeLimits limits;
  limits.unsentBytes = 1U << 20U;
  Front front(limits);
  RawPeer caller(front.context, front.server.port());
  caller.send(kGet);
  cr_assert(front.waitOpen(1));
  bool closed = false;
  front.open[0]->onClosed([&] { closed = true; });
  front.open[0]->begin(200, {});
  std::size_t most = 0;
  for (std::size_t i = 0; i < kPieces && !closed; ++i) {
    front.open[0]->write(std::string(kPiece, 'x'));
    most = std::max(most, front.server.unreadResponses().bytes);
    front.runFor(std::chrono::milliseconds(1));
  }
  cr_assert(closed);
  cr_assert_leq(most, limits.unsentBytes + 2 * kPiece);
  cr_assert_eq(front.server.unreadResponses().disconnectCount, 1U);
  cr_assert_eq(front.server.unreadResponses().bytes, 0U);
  cr_assert_eq(front.server.openExchanges(), 0U);
  cr_assert(caller.waitClosed());
  cr_assert_eq(caller.received().find("0\r\n\r\n"), std::string::npos);
}

// A caller must not have any number of answers made and read none of them.
Test(unread_answers, no_further_request_is_taken_while_answers_are_unread) {
  http::ExchangeLimits limits;
  limits.unsentBytes = kPiece;
  Front front(limits);
  RawPeer caller(front.context, front.server.port());
  constexpr std::size_t kRequests = 40;
  for (std::size_t i = 0; i < kRequests; ++i) {
    caller.send(kGet);
  }
  std::size_t answered = 0;
  const std::string body(1U << 20U, 'x');
  const auto answerAll = [&] {
    for (; answered < front.open.size(); ++answered) {
      front.open[answered]->respond(200, {}, body);
    }
  };
  for (int i = 0; i < 50; ++i) {
    front.runFor(std::chrono::milliseconds(2));
    answerAll();
  }
  cr_assert_lt(answered, kRequests);
  cr_assert_leq(front.server.unreadResponses().bytes, 2 * body.size() + kPiece);
  // It reads after all: each request is answered.
  const bool all = runUntil(front.context, [&] {
    answerAll();
    caller.readSome();
    return answered == kRequests && caller.received().size() > kRequests * body.size();
  });
  cr_assert(all);
  cr_assert_eq(front.server.unreadResponses().bytes, 0U);
}

Test(unread_answers, all_together_are_bounded_and_the_longest_unread_is_cut) {
  http::ExchangeLimits limits;
  limits.totalUnsentBytes = 40U << 20U;
  limits.stallTime = base::milliseconds(20);
  Front front(limits);
  const std::string body(16U << 20U, 'x');
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (std::size_t i = 0; i < 6; ++i) {
    callers.push_back(std::make_unique<RawPeer>(front.context, front.server.port()));
    callers.back()->send(kGet);
    cr_assert(front.waitOpen(i + 1));
    front.open[i]->respond(200, {}, body);
    front.runFor(std::chrono::milliseconds(40));
    cr_assert_leq(front.server.unreadResponses().bytes, limits.totalUnsentBytes);
  }
  cr_assert_eq(front.server.unreadResponses().disconnectCount, 4U);
  cr_assert(callers[0]->waitClosed());
  cr_assert_lt(callers[0]->received().size(), body.size());
  const bool whole = runUntil(front.context, [&] {
    callers[5]->readSome();
    return callers[5]->received().size() > body.size();
  });
  cr_assert(whole, "the last one reads, and gets its answer");
  cr_assert_eq(front.server.openConnections(), 2U);
}

// The exchange stayed open for ever: a request was taken from a connection that had been cut while
// it was read.
Test(unread_answers, connection_that_is_cut_while_it_asks_takes_no_request) {
  http::ExchangeLimits limits;
  limits.totalUnsentBytes = 1U << 20U;
  limits.unsentBytes = 64U << 20U;
  limits.stallTime = base::milliseconds(500);
  Front front(limits);
  RawPeer caller(front.context, front.server.port());
  caller.send(kGet);
  cr_assert(front.waitOpen(1));
  front.open[0]->respond(200, {}, std::string(16U << 20U, 'x'));
  front.runFor(std::chrono::milliseconds(600));
  caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx");
  front.runFor(std::chrono::milliseconds(60));
  cr_assert_eq(front.server.unreadResponses().disconnectCount, 1U);
  cr_assert_eq(front.open.size(), 1U);
  front.open.clear();
  cr_assert_eq(front.server.openExchanges(), 0U);
}
