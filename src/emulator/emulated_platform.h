/// \file
/// Emulated services of the hosting platform: machine list and scorer.
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

/// Settings of EmulatedPlatform.
struct EmulatedPlatformSettings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  base::Duration listLag = base::milliseconds(800);  ///< delay after which the list shows a change
  base::Duration announceTimeout =
      base::seconds(3);  ///< time without announcement after which an engine is removed
  base::Duration scoreLatency = base::milliseconds(5);
};

/// HTTP server to which emulators announce their engines. Serves the machine list as it was
/// `listLag` ago.
class EmulatedPlatform {
 public:
  EmulatedPlatform(asio::io_context& context, EmulatedPlatformSettings settings);

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  struct AnnouncedMachine {
    control::MachineListEntry machine;
    base::TimePoint firstAnnouncedAt{};
    base::TimePoint lastAnnouncedAt{};
    base::TimePoint drainingAnnouncedAt{};
  };

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  void announce(const std::string& body);
  [[nodiscard]] std::vector<control::MachineListEntry> laggedList() const;
  void score(const http::Request& request, const std::shared_ptr<http::Responder>& responder);

  asio::io_context& context_;
  const EmulatedPlatformSettings settings_;
  base::MonotonicTimeSource clock_;
  std::map<base::EngineId, AnnouncedMachine> m_machines;
  http::Server server_;
};

}  // namespace tackpick::emulator
