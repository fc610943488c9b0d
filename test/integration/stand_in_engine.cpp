#include "integration/stand_in_engine.h"

#include "http/status.h"

namespace tackpick::test {

using namespace http::status;
using runtime::Json;

struct StandInEngine::Stream {
  std::shared_ptr<http::Exchange> exchange;
  std::string body;
  std::string model;
  std::uint64_t toldVersion = 0;
  int next = 0;  ///< event
  bool began = false;
};

StandInEngine::StandInEngine(std::string id, EngineBehaviour behaviour)
    : m_id(std::move(id)),
      m_behaviour(std::move(behaviour)),
      m_versions(m_behaviour.versions),
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
  Json told = {{"service", "engines"},  {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "a"},           {"slots", 4},
               {"state", "ready"},      {"sequence", sequence},
               {"models", modelsJson()}};
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

EngineVersions StandInEngine::versions() const {
  const std::lock_guard lock(m_mutex);
  return m_versions;
}

Json StandInEngine::modelsJson() const {
  Json models = Json::array();
  for (const auto& [model, version] : versions()) {
    models.push_back({{"name", model}, {"version", version}});
  }
  return models;
}

std::uint64_t StandInEngine::versionOf(const std::string& model) const {
  const EngineVersions held = versions();
  const auto found = held.find(model);
  return found == held.end() ? held.begin()->second : found->second;
}

void StandInEngine::later(base::Duration delay, std::function<void()> callback) {
  const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, callback = std::move(callback)](const asio::error_code& error) {
    if (!error) {
      callback();
    }
  });
}

void StandInEngine::answer(const http::RawRequest& request,
                           const std::shared_ptr<http::Exchange>& exchange) {
  http::HeaderList headers;
  headers.add("Request-Id", request.headers.value("Request-Id"));
  if (request.headers.value("Expected-Instance") != m_id) {
    exchange->respond(kMisdirected, headers, {});
  } else if (request.target == "/order") {
    takeOrder(request, exchange);
  } else if (request.target == "/report") {
    report(exchange);
  } else if (m_loading) {
    headers.add("Not-Executed", "1");
    exchange->respond(kUnavailable, headers, {});
  } else {
    run(request, exchange);
  }
}

void StandInEngine::takeOrder(const http::RawRequest& request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  const Json order = Json::parse(request.body);
  const std::string model = order["model"].get<std::string>();
  const std::uint64_t version = order["version"].get<std::uint64_t>();
  if (m_loading) {
    exchange->respond(kConflict, {}, {});
    return;
  }
  if (versionOf(model) == version) {
    exchange->respond(kOk, {}, {});
    return;
  }
  ++m_orders;
  exchange->respond(kAccepted, {}, {});
  if (m_behaviour.loadTime == base::Duration{0}) {
    return;
  }
  m_loading = true;
  later(m_behaviour.loadTime, [this, model, version] {
    const std::lock_guard lock(m_mutex);
    m_loading = false;
    m_versions[model] = version;
  });
}

void StandInEngine::report(const std::shared_ptr<http::Exchange>& exchange) const {
  http::HeaderList headers;
  headers.add("Content-Type", "application/json");
  exchange->respond(kOk, headers, Json{{"busy", m_loading}, {"models", modelsJson()}}.dump());
}

void StandInEngine::run(const http::RawRequest& request,
                        const std::shared_ptr<http::Exchange>& exchange) {
  {
    const std::lock_guard lock(m_mutex);
    m_ran.push_back(request);
    m_ended = !m_endOn.empty() && request.target.starts_with(m_endOn);
  }
  if (m_ended) {
    m_server.stop();
    return;
  }
  const auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->body = request.body;
  stream->model = request.headers.value("Model");
  stream->toldVersion = versionOf(stream->model);
  if (request.headers.has("Last-Event-Id")) {
    stream->next = std::stoi(request.headers.value("Last-Event-Id")) + 1;
  }
  http::HeaderList headers;
  headers.add("Request-Id", request.headers.value("Request-Id"));
  headers.add("Weight-Versions", std::to_string(stream->toldVersion));
  exchange->begin(kOk, headers);
  writeEvents(stream);
}

void StandInEngine::writeEvents(const std::shared_ptr<Stream>& stream) {
  while (stream->next < kEvents) {
    if (stream->began && m_stalled) {
      const std::lock_guard lock(m_mutex);
      m_unfinished.push_back(stream->exchange);
      return;
    }
    writeEvent(*stream);
    if (m_behaviour.pace > base::Duration{0} && stream->next < kEvents) {
      later(m_behaviour.pace, [this, stream] { writeEvents(stream); });
      return;
    }
  }
  stream->exchange->finish();
}

void StandInEngine::writeEvent(Stream& stream) const {
  std::string text;
  const std::uint64_t version = versionOf(stream.model);
  if (version != stream.toldVersion) {
    text = "weight-versions: " + std::to_string(version) + "\n";
    stream.toldVersion = version;
  }
  const std::string event = std::to_string(stream.next);
  stream.exchange->write(text + "id: " + event + "\ndata: " + stream.body + event + "\n\n");
  stream.began = true;
  ++stream.next;
}

}  // namespace tackpick::test
