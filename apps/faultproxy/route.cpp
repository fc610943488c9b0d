#include "route.h"

#include <map>
#include <utility>

namespace tackpick::proxy {
namespace {

constexpr std::size_t kBufferBytes = 64U << 10U;

}  // namespace

std::optional<Fault> parseFault(std::string_view name) {
  static const std::map<std::string_view, Fault> kFaults = {
      {"pass", Fault::kNone},
      {"cut", Fault::kDisconnect},
      {"black_hole", Fault::kBlackHole},
      {"swallow_requests", Fault::kDropRequests},
      {"swallow_answers", Fault::kDropResponses},
      {"reset_after", Fault::kResetAfter},
      {"truncate_answer", Fault::kTruncateResponse},
  };
  const auto found = kFaults.find(name);
  return found == kFaults.end() ? std::nullopt : std::optional(found->second);
}

Route::Route(asio::io_context& context, RouteSettings settings)
    : context_(context),
      settings_(std::move(settings)),
      acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

std::uint16_t Route::port() const { return acceptor_.local_endpoint().port(); }

void Route::start() { accept(); }

void Route::accept() {
  acceptor_.async_accept([self = shared_from_this()](const asio::error_code& error,
                                                     asio::ip::tcp::socket socket) {
    if (error) {
      return;
    }
    if (self->fault_ != Fault::kDisconnect) {
      const auto relay = std::make_shared<Relay>(self, std::move(socket));
      std::erase_if(self->relays_, [](const std::weak_ptr<Relay>& old) { return old.expired(); });
      self->relays_.push_back(relay);
      relay->start();
    }
    self->accept();
  });
}

void Route::setFault(Fault fault, std::uint64_t bytes) {
  fault_ = fault;
  m_faultAfterBytes = bytes;
  const auto relays = relays_;
  for (const std::weak_ptr<Relay>& weak : relays) {
    const auto relay = weak.lock();
    if (!relay) {
      continue;
    }
    if (fault == Fault::kDisconnect) {
      relay->close();
    } else {
      relay->resume();
    }
  }
}

Relay::Direction::Direction(asio::io_context& context, asio::ip::tcp::socket& from,
                            asio::ip::tcp::socket& to, bool isToTarget)
    : source(from), sink(to), toTarget(isToTarget), buffer(kBufferBytes), timer(context) {}

Relay::Relay(std::shared_ptr<Route> route, asio::ip::tcp::socket client)
    : route_(std::move(route)),
      m_client(std::move(client)),
      target_(route_->context()),
      requests_(route_->context(), m_client, target_, true),
      m_responses(route_->context(), target_, m_client, false) {}

void Relay::start() {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(route_->settings().host),
                                         route_->settings().port);
  target_.async_connect(endpoint, [self = shared_from_this()](const asio::error_code& error) {
    if (error) {
      self->close();
      return;
    }
    asio::error_code ignored;
    self->m_client.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->target_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->read(self->requests_);
    self->read(self->m_responses);
  });
}

void Relay::close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  // Resets the connections, so that the peers do not mistake this for an orderly shutdown.
  m_client.set_option(asio::socket_base::linger(true, 0), ignored);
  target_.set_option(asio::socket_base::linger(true, 0), ignored);
  m_client.close(ignored);
  target_.close(ignored);
  requests_.timer.cancel();
  m_responses.timer.cancel();
}

void Relay::resume() {
  write(requests_);
  write(m_responses);
}

bool Relay::isBlocked(const Direction& direction) const {
  switch (route_->fault()) {
    case Fault::kBlackHole:
      return true;
    case Fault::kDropRequests:
      return direction.toTarget;
    case Fault::kDropResponses:
      return !direction.toTarget;
    case Fault::kNone:
    case Fault::kDisconnect:
    case Fault::kResetAfter:
    case Fault::kTruncateResponse:
      return false;
  }
  return false;
}

void Relay::read(Direction& direction) {
  direction.source.async_read_some(
      asio::buffer(direction.buffer),
      [self = shared_from_this(), &direction](const asio::error_code& error, std::size_t size) {
        if (error) {
          direction.eof = true;
          self->write(direction);
          return;
        }
        DelayedChunk chunk;
        chunk.dueAt = std::chrono::steady_clock::now() + self->route_->settings().delay;
        chunk.bytes.assign(direction.buffer.begin(),
                           direction.buffer.begin() + static_cast<std::ptrdiff_t>(size));
        direction.queue.push_back(std::move(chunk));
        self->write(direction);
        self->read(direction);
      });
}

bool Relay::truncateAtFault(Direction& direction, std::vector<char>& chunk) const {
  const bool byteLimited = (route_->fault() == Fault::kResetAfter && direction.toTarget) ||
                           (route_->fault() == Fault::kTruncateResponse && !direction.toTarget);
  if (!byteLimited || direction.forwardedBytes + chunk.size() <= route_->faultAfterBytes()) {
    return false;
  }
  const std::uint64_t left = route_->faultAfterBytes() > direction.forwardedBytes
                                 ? route_->faultAfterBytes() - direction.forwardedBytes
                                 : 0;
  chunk.resize(left);
  return true;
}

void Relay::write(Direction& direction) {
  if (closed_ || direction.writing || isBlocked(direction)) {
    return;
  }
  if (direction.queue.empty()) {
    if (direction.eof) {
      close();
    }
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  if (direction.queue.front().dueAt > now) {
    direction.timer.expires_at(direction.queue.front().dueAt);
    direction.timer.async_wait(
        [self = shared_from_this(), &direction](const asio::error_code& error) {
          if (!error) {
            self->write(direction);
          }
        });
    return;
  }
  auto bytes = std::make_shared<std::vector<char>>(std::move(direction.queue.front().bytes));
  direction.queue.pop_front();
  const bool closeAfterWrite = truncateAtFault(direction, *bytes);
  direction.writing = true;
  asio::async_write(direction.sink, asio::buffer(*bytes),
                    [self = shared_from_this(), &direction, bytes, closeAfterWrite](
                        const asio::error_code& error, std::size_t size) {
                      direction.writing = false;
                      direction.forwardedBytes += size;
                      if (error || closeAfterWrite) {
                        self->close();
                        return;
                      }
                      self->write(direction);
                    });
}

}  // namespace tackpick::proxy
