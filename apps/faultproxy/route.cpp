#include "route.h"

#include <map>
#include <utility>

namespace tackpick::proxy {
namespace {

constexpr std::size_t kBufferBytes = 64U << 10U;

}  // namespace

std::optional<Fault> faultNamed(std::string_view name) {
  static const std::map<std::string_view, Fault> kFaults = {
      {"pass", Fault::kPass},
      {"cut", Fault::kCut},
      {"black_hole", Fault::kBlackHole},
      {"swallow_requests", Fault::kSwallowRequests},
      {"swallow_answers", Fault::kSwallowAnswers},
      {"reset_after", Fault::kResetAfter},
      {"truncate_answer", Fault::kTruncateAnswer},
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
    if (self->fault_ != Fault::kCut) {
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
  fault_bytes_ = bytes;
  const auto relays = relays_;
  for (const std::weak_ptr<Relay>& weak : relays) {
    const auto relay = weak.lock();
    if (!relay) {
      continue;
    }
    if (fault == Fault::kCut) {
      relay->close();
    } else {
      relay->resume();
    }
  }
}

Relay::Direction::Direction(asio::io_context& context, asio::ip::tcp::socket& from,
                            asio::ip::tcp::socket& to, bool towards)
    : source(from), sink(to), towardsTarget(towards), buffer(kBufferBytes), timer(context) {}

Relay::Relay(std::shared_ptr<Route> route, asio::ip::tcp::socket dialler)
    : route_(std::move(route)),
      dialler_(std::move(dialler)),
      target_(route_->context()),
      requests_(route_->context(), dialler_, target_, true),
      answers_(route_->context(), target_, dialler_, false) {}

void Relay::start() {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(route_->settings().host),
                                         route_->settings().port);
  target_.async_connect(endpoint, [self = shared_from_this()](const asio::error_code& error) {
    if (error) {
      self->close();
      return;
    }
    asio::error_code ignored;
    self->dialler_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->target_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->read(self->requests_);
    self->read(self->answers_);
  });
}

void Relay::close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  // Resetting, not finishing: the peers must not take this for an orderly end.
  dialler_.set_option(asio::socket_base::linger(true, 0), ignored);
  target_.set_option(asio::socket_base::linger(true, 0), ignored);
  dialler_.close(ignored);
  target_.close(ignored);
  requests_.timer.cancel();
  answers_.timer.cancel();
}

void Relay::resume() {
  write(requests_);
  write(answers_);
}

bool Relay::isHeld(const Direction& direction) const {
  switch (route_->fault()) {
    case Fault::kBlackHole:
      return true;
    case Fault::kSwallowRequests:
      return direction.towardsTarget;
    case Fault::kSwallowAnswers:
      return !direction.towardsTarget;
    case Fault::kPass:
    case Fault::kCut:
    case Fault::kResetAfter:
    case Fault::kTruncateAnswer:
      return false;
  }
  return false;
}

void Relay::read(Direction& direction) {
  direction.source.async_read_some(
      asio::buffer(direction.buffer),
      [self = shared_from_this(), &direction](const asio::error_code& error, std::size_t size) {
        if (error) {
          direction.ended = true;
          self->write(direction);
          return;
        }
        Piece piece;
        piece.dueAt = std::chrono::steady_clock::now() + self->route_->settings().delay;
        piece.bytes.assign(direction.buffer.begin(),
                           direction.buffer.begin() + static_cast<std::ptrdiff_t>(size));
        direction.queue.push_back(std::move(piece));
        self->write(direction);
        self->read(direction);
      });
}

bool Relay::limit(Direction& direction, std::vector<char>& piece) const {
  const bool counted = (route_->fault() == Fault::kResetAfter && direction.towardsTarget) ||
                       (route_->fault() == Fault::kTruncateAnswer && !direction.towardsTarget);
  if (!counted || direction.passed + piece.size() <= route_->faultBytes()) {
    return false;
  }
  const std::uint64_t left =
      route_->faultBytes() > direction.passed ? route_->faultBytes() - direction.passed : 0;
  piece.resize(left);
  return true;
}

void Relay::write(Direction& direction) {
  if (closed_ || direction.writing || isHeld(direction)) {
    return;
  }
  if (direction.queue.empty()) {
    if (direction.ended) {
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
  const bool breaks = limit(direction, *bytes);
  direction.writing = true;
  asio::async_write(direction.sink, asio::buffer(*bytes),
                    [self = shared_from_this(), &direction, bytes, breaks](
                        const asio::error_code& error, std::size_t size) {
                      direction.writing = false;
                      direction.passed += size;
                      if (error || breaks) {
                        self->close();
                        return;
                      }
                      self->write(direction);
                    });
}

}  // namespace tackpick::proxy
