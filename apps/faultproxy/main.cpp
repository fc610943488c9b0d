/// \file
/// tackpick-faultproxy: TCP proxy that delays, drops, resets and truncates connections. Controlled
/// over HTTP, see docs/API.md.
#include <asio.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <memory>

#include "http/server.h"
#include "route.h"
#include "runtime/json.h"

namespace {

namespace http = tackpick::http;
namespace proxy = tackpick::proxy;
using tackpick::runtime::Json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// Routes and the HTTP interface that adds them and sets their faults.
class Proxy {
 public:
  explicit Proxy(std::uint16_t adminPort)
      : signals_(context_, SIGINT, SIGTERM),
        admin_(context_, adminSettings(adminPort),
               [this](const http::Request& request,
                      const std::shared_ptr<http::Responder>& responder) {
                 handle(request, *responder);
               }) {
    signals_.async_wait([this](const asio::error_code& error, int) {
      if (!error) {
        context_.stop();
      }
    });
  }

  void run() {
    std::cout << "admin port " << admin_.port() << std::endl;
    context_.run();
  }

 private:
  static http::ServerSettings adminSettings(std::uint16_t port) {
    http::ServerSettings settings;
    settings.port = port;
    return settings;
  }

  void handle(const http::Request& request, http::Responder& responder) {
    const http::Headers json = {{"Content-Type", "application/json"}};
    const Json body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    constexpr std::string_view kPrefix = "/routes/";
    if (request.path == "/healthz") {
      responder.respond(kOk, json, "{}");
    } else if (!body.is_object()) {
      responder.respond(kBadRequest, json, R"({"error":"not a JSON object"})");
    } else if (request.path == "/routes") {
      const std::uint16_t port = addRoute(body);
      responder.respond(kOk, json, Json{{"port", port}}.dump());
    } else if (request.path.starts_with(kPrefix)) {
      const auto route = routes_.find(request.path.substr(kPrefix.size()));
      const auto fault = proxy::parseFault(body.value("fault", ""));
      if (route == routes_.end() || !fault) {
        responder.respond(kNotFound, json, R"({"error":"no such route or fault"})");
        return;
      }
      route->second->setFault(*fault, body.value("bytes", std::uint64_t{0}));
      responder.respond(kOk, json, "{}");
    } else {
      responder.respond(kNotFound, json, R"({"error":"no such path"})");
    }
  }

  std::uint16_t addRoute(const Json& body) {
    proxy::RouteSettings settings;
    settings.host = body.value("host", "127.0.0.1");
    settings.port = body.value("port", std::uint16_t{0});
    settings.delay = std::chrono::microseconds(body.value("delay_us", std::int64_t{0}));
    const auto route = std::make_shared<proxy::Route>(context_, settings);
    routes_[body.value("name", "")] = route;
    route->start();
    return route->port();
  }

  asio::io_context context_;
  asio::signal_set signals_;
  std::map<std::string, std::shared_ptr<proxy::Route>> routes_;
  http::Server admin_;
};

}  // namespace

int main(int argc, char** argv) {
  constexpr int kUsageError = 2;
  try {
    cxxopts::Options parser("tackpick-faultproxy", "Fault-injecting TCP proxy");
    parser.add_options()("admin-port", "HTTP port; 0: chosen by the system",
                         cxxopts::value<std::uint16_t>()->default_value("0"));
    const auto parsed = parser.parse(argc, argv);
    Proxy proxy(parsed["admin-port"].as<std::uint16_t>());
    proxy.run();
  } catch (const std::exception& error) {
    std::cerr << "tackpick-faultproxy: " << error.what() << "\n";
    return kUsageError;
  }
  return 0;
}
