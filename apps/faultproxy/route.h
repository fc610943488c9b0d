/// \file
/// One way through the proxy, from a listening port to a target.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tackpick::proxy {

enum class Fault {
  kPass,
  kCut,              ///< existing connections break; new ones are refused
  kBlackHole,        ///< connections stay open and nothing gets through, either way
  kSwallowRequests,  ///< one-way cut: nothing from the dialling side gets through
  kSwallowAnswers,   ///< one-way cut: nothing from the target gets through
  kResetAfter,       ///< break the connection once that many bytes went to the target
  kTruncateAnswer,   ///< break the connection once that many bytes came from the target
};

[[nodiscard]] std::optional<Fault> faultNamed(std::string_view name);

struct RouteSettings {
  std::string host;
  std::uint16_t port = 0;
  std::chrono::microseconds delay{0};  ///< added each way
};

class Relay;

/// Accepts connections and relays them, under the fault that is set.
class Route : public std::enable_shared_from_this<Route> {
 public:
  Route(asio::io_context& context, RouteSettings settings);

  void start();
  void setFault(Fault fault, std::uint64_t bytes);
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] Fault fault() const { return fault_; }
  [[nodiscard]] std::uint64_t faultBytes() const { return fault_bytes_; }
  [[nodiscard]] const RouteSettings& settings() const { return settings_; }
  [[nodiscard]] asio::io_context& context() { return context_; }

 private:
  void accept();

  asio::io_context& context_;
  RouteSettings settings_;
  asio::ip::tcp::acceptor acceptor_;
  Fault fault_ = Fault::kPass;
  std::uint64_t fault_bytes_ = 0;
  std::vector<std::weak_ptr<Relay>> relays_;
};

/// One relayed connection. Bytes wait in a queue until their delay is over.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(std::shared_ptr<Route> route, asio::ip::tcp::socket dialler);

  void start();
  void close();
  /// Sends on what waits; called when a fault ends.
  void resume();

 private:
  struct Piece {
    std::chrono::steady_clock::time_point dueAt;
    std::vector<char> bytes;
  };
  struct Direction {
    Direction(asio::io_context& context, asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
              bool towardsTarget);
    asio::ip::tcp::socket& source;
    asio::ip::tcp::socket& sink;
    const bool towardsTarget;
    std::vector<char> buffer;
    std::deque<Piece> queue;
    asio::steady_timer timer;
    bool writing = false;
    bool ended = false;
    std::uint64_t passed = 0;
  };

  void read(Direction& direction);
  void write(Direction& direction);
  [[nodiscard]] bool isHeld(const Direction& direction) const;
  /// Cuts `piece` to what the fault lets through; true when the connection must then break.
  bool limit(Direction& direction, std::vector<char>& piece) const;

  std::shared_ptr<Route> route_;
  asio::ip::tcp::socket dialler_;
  asio::ip::tcp::socket target_;
  Direction requests_;
  Direction answers_;
  bool closed_ = false;
};

}  // namespace tackpick::proxy
