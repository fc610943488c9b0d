#include "integration/fake_engine.h"

#include "http/status.h"

namespace tackpick::test {

using namespace http::status;
using runtime::Json;

namespace {

/// Maximum size of the part of a request's body that each event repeats.
constexpr std::size_t kMaxEchoBytes = 1024;

http::ExchangeLimits limits() {
  http::ExchangeLimits limits;
  limits.maxBodyBytes = std::size_t{64} << 20U;
  limits.maxRequestBytes = std::size_t{1} << 30U;
  return limits;
}

}  // namespace

struct FakeEngine::Stream {
  std::shared_ptr<http::Exchange> exchange;
  std::string body;
  std::string model;
  std::uint64_t reportedVersion = 0;
  int nextEvent = 0;
  bool started = false;
};

FakeEngine::FakeEngine(std::string id, FakeEngineOptions options)
    : m_id(std::move(id)),
      m_options(std::move(options)),
      m_versions(m_options.versions),
      m_server(
          m_context, "127.0.0.1", 0, limits(),
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            handleRequest(request, exchange);
          }),
      m_thread([this] { m_context.run(); }) {}

FakeEngine::~FakeEngine() {
  m_context.stop();
  m_thread.join();
}

void FakeEngine::crashOn(const std::string& pathPrefix) {
  const std::lock_guard lock(m_mutex);
  m_crashPath = pathPrefix;
}

std::size_t FakeEngine::stalledStreams() const {
  const std::lock_guard lock(m_mutex);
  return m_stalledExchanges.size();
}

Json FakeEngine::heartbeat(std::uint64_t sequence, std::uint64_t startTime) const {
  const std::uint16_t port = m_advertisedPort == 0 ? m_server.port() : m_advertisedPort;
  Json body = {{"service", "engines"},  {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "a"},           {"slots", 4},
               {"state", "ready"},      {"sequence", sequence},
               {"models", modelsJson()}};
  if (startTime != 0) {
    body["born"] = startTime;
  }
  return body;
}

std::map<std::string, int> FakeEngine::requestsByTenant(const std::string& pathPrefix) const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, int> counts;
  for (const http::RawRequest& request : m_requests) {
    if (request.target.starts_with(pathPrefix)) {
      const bool key = request.headers.has("Authorization");
      ++counts[key ? "key" : request.headers.value("Tenant")];
    }
  }
  return counts;
}

std::vector<CommandSender> FakeEngine::commandSenders() const {
  const std::lock_guard lock(m_mutex);
  return m_commandSenders;
}

EngineVersions FakeEngine::versions() const {
  const std::lock_guard lock(m_mutex);
  return m_versions;
}

Json FakeEngine::modelsJson() const {
  Json models = Json::array();
  for (const auto& [model, version] : versions()) {
    models.push_back({{"name", model}, {"version", version}});
  }
  return models;
}

std::uint64_t FakeEngine::versionOf(const std::string& model) const {
  const EngineVersions loadedVersions = versions();
  const auto found = loadedVersions.find(model);
  return found == loadedVersions.end() ? loadedVersions.begin()->second : found->second;
}

void FakeEngine::runAfter(base::Duration delay, std::function<void()> callback) {
  const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, callback = std::move(callback)](const asio::error_code& error) {
    if (!error) {
      callback();
    }
  });
}

void FakeEngine::handleRequest(const http::RawRequest& request,
                               const std::shared_ptr<http::Exchange>& exchange) {
  http::HeaderList headers;
  headers.add("Request-Id", request.headers.value("Request-Id"));
  if (request.headers.value("Expected-Instance") != m_id) {
    exchange->respond(kMisdirected, headers, {});
  } else if (request.target == "/order") {
    handleLoadCommand(request, exchange);
  } else if (request.target == "/report") {
    sendVersions(exchange);
  } else if (m_loading) {
    headers.add("Not-Executed", "1");
    exchange->respond(kUnavailable, headers, {});
  } else {
    run(request, exchange);
  }
}

void FakeEngine::handleLoadCommand(const http::RawRequest& request,
                                   const std::shared_ptr<http::Exchange>& exchange) {
  const Json command = Json::parse(request.body);
  const std::string model = command["model"].get<std::string>();
  const std::uint64_t version = command["version"].get<std::uint64_t>();
  {
    const std::lock_guard lock(m_mutex);
    m_commandSenders.push_back(
        {command["holder"].get<std::string>(), command["fencingToken"].get<std::uint64_t>()});
  }
  if (m_loading) {
    exchange->respond(kConflict, {}, {});
    return;
  }
  if (versionOf(model) == version) {
    exchange->respond(kOk, {}, {});
    return;
  }
  ++m_loadCommandCount;
  exchange->respond(kAccepted, {}, {});
  if (m_options.loadTime == base::Duration{0}) {
    return;
  }
  m_loading = true;
  runAfter(m_options.loadTime, [this, model, version] {
    const std::lock_guard lock(m_mutex);
    m_loading = false;
    m_versions[model] = version;
  });
}

void FakeEngine::sendVersions(const std::shared_ptr<http::Exchange>& exchange) const {
  http::HeaderList headers;
  headers.add("Content-Type", "application/json");
  exchange->respond(kOk, headers, Json{{"busy", m_loading}, {"models", modelsJson()}}.dump());
}

void FakeEngine::run(const http::RawRequest& request,
                     const std::shared_ptr<http::Exchange>& exchange) {
  {
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
    m_crashed = !m_crashPath.empty() && request.target.starts_with(m_crashPath);
  }
  if (m_crashed) {
    m_server.stop();
    return;
  }
  const auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->body = request.body.substr(0, kMaxEchoBytes);
  stream->model = request.headers.value("Model");
  stream->reportedVersion = versionOf(stream->model);
  if (request.headers.has("Last-Event-Id")) {
    stream->nextEvent = std::stoi(request.headers.value("Last-Event-Id")) + 1;
  }
  http::HeaderList headers;
  headers.add("Request-Id", request.headers.value("Request-Id"));
  headers.add("Weight-Versions", std::to_string(stream->reportedVersion));
  if (m_options.endlessBody != EndlessBody::kNone) {
    beginEndlessBody(exchange, headers);
    return;
  }
  exchange->begin(kOk, headers);
  writeEvents(stream);
}

void FakeEngine::beginEndlessBody(const std::shared_ptr<http::Exchange>& exchange,
                                  const http::HeaderList& headers) {
  constexpr std::size_t kPartBytes = 64U << 10U;
  constexpr std::size_t kLineBytes = 64;
  const bool slow = m_options.endlessBody == EndlessBody::kSlowLine;
  std::string part(slow ? 1 : kPartBytes, 'x');
  if (m_options.endlessBody == EndlessBody::kUnterminatedEvent) {
    for (std::size_t end = kLineBytes; end <= part.size(); end += kLineBytes) {
      part[end - 1] = '\n';
    }
  }
  const auto closed = std::make_shared<bool>(false);
  exchange->onClosed([closed] { *closed = true; });
  exchange->begin(m_options.endlessBody == EndlessBody::kServerError ? kServerError : kOk, headers);
  exchange->write("id: 0\ndata: ");
  const auto writePart = std::make_shared<std::function<void()>>();
  *writePart = [=, this, weak = std::weak_ptr(writePart)] {
    const auto self = weak.lock();
    if (*closed || !self) {
      return;
    }
    if (exchange->unsentBytes() < kPartBytes) {
      exchange->write(part);
    }
    runAfter(base::milliseconds(slow ? 100 : 1), [self] { (*self)(); });
  };
  (*writePart)();
}

std::size_t FakeEngine::runCount() const {
  const std::lock_guard lock(m_mutex);
  return m_requests.size();
}

void FakeEngine::writeEvents(const std::shared_ptr<Stream>& stream) {
  while (stream->nextEvent < kEventsPerStream) {
    if (stream->started && m_stallStreams) {
      const std::lock_guard lock(m_mutex);
      m_stalledExchanges.push_back(stream->exchange);
      return;
    }
    writeEvent(*stream);
    if (m_options.eventInterval > base::Duration{0} && stream->nextEvent < kEventsPerStream) {
      runAfter(m_options.eventInterval, [this, stream] { writeEvents(stream); });
      return;
    }
  }
  stream->exchange->finish();
}

void FakeEngine::writeEvent(Stream& stream) {
  std::string text;
  const std::uint64_t version = versionOf(stream.model);
  if (version != stream.reportedVersion) {
    text = "weight-versions: " + std::to_string(version) + "\n";
    stream.reportedVersion = version;
  }
  const std::string event = std::to_string(stream.nextEvent);
  std::string data = stream.body + event;
  if (m_corruptNextEvent.exchange(false)) {
    constexpr char kContinuationByte = '\xb1';
    data.front() = kContinuationByte;
    m_sentCorruptEvent = true;
  }
  stream.exchange->write(text + "id: " + event + "\ndata: " + data + "\n\n");
  stream.started = true;
  ++stream.nextEvent;
}

}  // namespace tackpick::test
