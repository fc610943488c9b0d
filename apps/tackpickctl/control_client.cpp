#include "control_client.h"

#include <asio.hpp>
#include <thread>

#include "http/client.h"

namespace tackpick::ctl {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr auto kElectionRetryDelay = std::chrono::milliseconds(300);
constexpr int kMaxRounds = 40;

}  // namespace

ControlResponse callController(const std::string& url, const std::string& token,
                               const std::string& method, const std::string& path,
                               const std::string& body) {
  asio::io_context context;
  http::Client client(context);
  http::ClientRequest request;
  request.method = method;
  request.url = url + path;
  request.headers["Authorization"] = "Bearer " + token;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  request.timeout = base::seconds(15);
  ControlResponse response;
  client.start(request, nullptr, [&](const http::ClientResult& result) {
    response.status = result.complete ? result.status : 0;
    response.body = runtime::Json::parse(result.body, nullptr, false);
    context.stop();
  });
  context.run();
  return response;
}

ControlResponse callControllers(const ControlAddress& address, const std::string& method,
                                const std::string& path, const std::string& body) {
  ControlResponse last;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const std::string& url : address.urls) {
      ControlResponse response = callController(url, address.token, method, path, body);
      const bool tryNext = response.status == 0 || response.status == kMisdirected ||
                           response.status == kUnavailable;
      if (!tryNext) {
        return response;
      }
      last = response.status == 0 ? last : response;
    }
    std::this_thread::sleep_for(kElectionRetryDelay);
  }
  return last;
}

}  // namespace tackpick::ctl
