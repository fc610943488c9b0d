#include "control_client.h"

#include <asio.hpp>
#include <thread>

#include "http/client.h"

namespace tackpick::ctl {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr auto kElectionPause = std::chrono::milliseconds(300);
constexpr int kRounds = 40;

}  // namespace

ControlAnswer callOne(const std::string& url, const std::string& token, const std::string& method,
                      const std::string& path, const std::string& body) {
  asio::io_context context;
  http::Client client(context);
  http::ClientRequest request;
  request.method = method;
  request.url = url + path;
  request.headers["Authorization"] = "Bearer " + token;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  request.timeout = base::seconds(15);
  ControlAnswer answer;
  client.start(request, nullptr, [&](const http::ClientResult& result) {
    answer.status = result.complete ? result.status : 0;
    answer.body = runtime::Json::parse(result.body, nullptr, false);
    context.stop();
  });
  context.run();
  return answer;
}

ControlAnswer callControllers(const ControlAddress& address, const std::string& method,
                              const std::string& path, const std::string& body) {
  ControlAnswer last;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& url : address.urls) {
      ControlAnswer answer = callOne(url, address.token, method, path, body);
      const bool tryNext =
          answer.status == 0 || answer.status == kMisdirected || answer.status == kUnavailable;
      if (!tryNext) {
        return answer;
      }
      last = answer.status == 0 ? last : answer;
    }
    std::this_thread::sleep_for(kElectionPause);
  }
  return last;
}

}  // namespace tackpick::ctl
