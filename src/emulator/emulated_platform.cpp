#include "emulator/emulated_platform.h"

#include <utility>

#include "base/random.h"
#include "base/timer.h"
#include "runtime/engine_json.h"

namespace tackpick::emulator {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

const http::Headers& jsonHeaders() {
  static const http::Headers kHeaders = {{"Content-Type", "application/json"}};
  return kHeaders;
}

http::ServerSettings serverSettings(const EmulatedPlatformSettings& settings) {
  http::ServerSettings server;
  server.host = settings.host;
  server.port = settings.port;
  return server;
}

}  // namespace

EmulatedPlatform::EmulatedPlatform(asio::io_context& context, EmulatedPlatformSettings settings)
    : context_(context),
      settings_(std::move(settings)),
      server_(
          context, serverSettings(settings_),
          [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
            handle(request, responder);
          }) {}

void EmulatedPlatform::handle(const http::Request& request,
                              const std::shared_ptr<http::Responder>& responder) {
  if (request.path == "/machines" && request.method == "GET") {
    responder->respond(kOk, jsonHeaders(), runtime::toJson(laggedList()));
  } else if (request.path == "/machines") {
    announce(request.body);
    responder->respond(kOk, jsonHeaders(), "{}");
  } else if (request.path == "/score") {
    score(request, responder);
  } else {
    responder->respond(kNotFound, jsonHeaders(), R"({"error":"not found"})");
  }
}

void EmulatedPlatform::announce(const std::string& body) {
  const base::TimePoint now = clock_.now();
  for (const control::MachineListEntry& machine :
       runtime::parseMachineList(body).value_or(std::vector<control::MachineListEntry>{})) {
    AnnouncedMachine& known = m_machines[machine.engine.engine];
    if (machine.engine.incarnation < known.machine.engine.incarnation) {
      continue;
    }
    if (machine.engine.incarnation != known.machine.engine.incarnation) {
      known = {};
      known.firstAnnouncedAt = now;
    }
    if (machine.engine.draining && !known.machine.engine.draining) {
      known.drainingAnnouncedAt = now;
    }
    known.machine = machine;
    known.lastAnnouncedAt = now;
  }
}

std::vector<control::MachineListEntry> EmulatedPlatform::laggedList() const {
  const base::TimePoint now = clock_.now();
  std::vector<control::MachineListEntry> list;
  for (const auto& [id, known] : m_machines) {
    const bool visible =
        now - known.firstAnnouncedAt >= settings_.listLag &&
        now - known.lastAnnouncedAt < settings_.announceTimeout + settings_.listLag;
    if (!visible) {
      continue;
    }
    control::MachineListEntry machine = known.machine;
    const bool drainingVisible = now - known.drainingAnnouncedAt >= settings_.listLag;
    machine.engine.draining = machine.engine.draining && drainingVisible;
    list.push_back(machine);
  }
  return list;
}

void EmulatedPlatform::score(const http::Request& request,
                             const std::shared_ptr<http::Responder>& responder) {
  auto timer = std::make_shared<base::Timer>(context_, settings_.scoreLatency);
  const std::uint64_t hash = base::hashBytes(request.body);
  timer->async_wait([timer, responder, hash](const asio::error_code& /*error*/) {
    constexpr std::uint64_t kSteps = 1000;
    const double score = static_cast<double>(hash % kSteps) / static_cast<double>(kSteps);
    responder->respond(kOk, jsonHeaders(), runtime::Json{{"score", score}}.dump());
  });
}

}  // namespace tackpick::emulator
