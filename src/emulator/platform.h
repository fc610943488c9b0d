/// \file
/// The platform's own services, emulated: the lagging machine list and the scorer.
#pragma once

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/controller.h"
#include "http/server.h"

namespace tackpick::emulator {

/// Knobs of Platform.
struct PlatformSettings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  base::Duration listLag = base::milliseconds(800);  ///< how late the list shows a change
  base::Duration silence = base::seconds(3);         ///< an engine unheard for this long is gone
  base::Duration scoreTime = base::milliseconds(5);
};

/// Engines announce themselves; readers get the list as it was `listLag` ago.
class Platform {
 public:
  Platform(asio::io_context& context, PlatformSettings settings);

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  struct Seen {
    control::MachineListEntry machine;
    base::TimePoint firstSeenAt{};
    base::TimePoint lastSeenAt{};
    base::TimePoint leavingSeenAt{};
  };

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void announce(const std::string& body);
  [[nodiscard]] std::vector<control::MachineListEntry> laggingList() const;
  void score(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

  asio::io_context& context_;
  const PlatformSettings settings_;
  base::MonotonicTimeSource clock_;
  std::map<base::EngineId, Seen> seen_;
  http::Server server_;
};

}  // namespace tackpick::emulator
