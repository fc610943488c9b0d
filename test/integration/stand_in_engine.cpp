#include "integration/stand_in_engine.h"

#include "http/status.h"

namespace tackpick::test {

using namespace http::status;
using runtime::Json;

StandInEngine::StandInEngine(std::string id)
    : m_id(std::move(id)),
      m_server(
          m_context, "127.0.0.1", 0, {},
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            answer(request, exchange);
          }),
      m_thread([this] { m_context.run(); }) {}

StandInEngine::~StandInEngine() {
  m_context.stop();
  m_thread.join();
}

void StandInEngine::endOn(const std::string& pathPrefix) {
  const std::lock_guard lock(m_mutex);
  m_endOn = pathPrefix;
}

std::size_t StandInEngine::stalled() const {
  const std::lock_guard lock(m_mutex);
  return m_unfinished.size();
}

Json StandInEngine::heartbeat(std::uint64_t sequence, std::uint64_t born) const {
  const std::uint16_t port = m_advertised == 0 ? m_server.port() : m_advertised;
  Json told = {{"service", "engines"},
               {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "a"},
               {"slots", 4},
               {"state", "ready"},
               {"sequence", sequence},
               {"models", {{{"name", "m"}, {"version", 1}}}}};
  if (born != 0) {
    told["born"] = born;
  }
  return told;
}

std::map<std::string, int> StandInEngine::tenants(const std::string& pathPrefix) const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, int> counts;
  for (const http::RawRequest& request : m_ran) {
    if (request.target.starts_with(pathPrefix)) {
      const bool key = request.headers.has("Authorization");
      ++counts[key ? "key" : request.headers.value("Tenant")];
    }
  }
  return counts;
}

void StandInEngine::answer(const http::RawRequest& request,
                           const std::shared_ptr<http::Exchange>& exchange) {
  http::HeaderList headers;
  headers.add("Request-Id", request.headers.value("Request-Id"));
  headers.add("Weight-Versions", "1");
  if (request.headers.value("Expected-Instance") != m_id) {
    exchange->respond(kMisdirected, headers, {});
    return;
  }
  if (request.target == "/order") {
    ++m_orders;
    exchange->respond(kAccepted, headers, {});
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    m_ran.push_back(request);
    m_ended = !m_endOn.empty() && request.target.starts_with(m_endOn);
  }
  if (m_ended) {
    m_server.stop();
    return;
  }
  exchange->begin(kOk, headers);
  const int first = request.headers.has("Last-Event-Id")
                        ? std::stoi(request.headers.value("Last-Event-Id")) + 1
                        : 0;
  for (int event = first; event < kEvents; ++event) {
    if (event > first && m_stalled) {
      const std::lock_guard lock(m_mutex);
      m_unfinished.push_back(exchange);
      return;
    }
    exchange->write("id: " + std::to_string(event) + "\ndata: " + request.body +
                    std::to_string(event) + "\n\n");
  }
  exchange->finish();
}

}  // namespace tackpick::test
