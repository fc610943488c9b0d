#include "emulator/emulated_engine.h"

#include <utility>

#include "runtime/engine_json.h"

namespace tackpick::emulator {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

const http::Headers& jsonHeaders() {
  static const http::Headers kHeaders = {{"Content-Type", "application/json"}};
  return kHeaders;
}

http::ServerSettings serverSettings(const EmulatedEngineSettings& settings) {
  http::ServerSettings server;
  server.host = settings.host;
  server.port = settings.port;
  server.readTimeoutSeconds = 60;
  return server;
}

std::uint64_t numberOr(const std::string& text, std::uint64_t fallback) {
  const bool digits = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
  return digits ? std::stoull(text) : fallback;
}

}  // namespace

EmulatedEngine::EmulatedEngine(asio::io_context& context, EmulatedEngineSettings settings,
                               engine::WeightStore& store, base::Random& random)
    : context_(context),
      settings_(std::move(settings)),
      model_(settings_.id, settings_.incarnation, settings_.model, store, random, clock_.now()),
      timer_(context),
      server_(
          context, serverSettings(settings_),
          [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
            handle(request, responder);
          }) {
  if (settings_.recordRuns) {
    model_.recordRuns();
  }
}

void EmulatedEngine::handle(const http::Request& request,
                            const std::shared_ptr<http::Responder>& responder) {
  advance();
  if (request.path == "/v1/generate") {
    generate(request, responder);
  } else if (request.path == "/v1/load") {
    load(request, responder);
  } else if (request.path == "/v1/orders") {
    order(request, responder);
  } else if (request.path == "/v1/kv/export" || request.path == "/v1/kv/import") {
    cacheTransfer(request, responder);
  } else {
    responder->respond(kNotFound, jsonHeaders(), R"({"error":"not found","ran":false})");
  }
  schedule();
}

void EmulatedEngine::generate(const http::Request& request,
                              const std::shared_ptr<http::Responder>& responder) {
  std::string problem;
  const auto parsed = base::recover([&] { return runtime::parseGenerateRequest(request.body); },
                                    [&](const base::Error& error) {
                                      problem = error.message;
                                      return engine::GenerateRequest{};
                                    });
  int status = kBadRequest;
  if (problem.empty()) {
    status = kConflict;
    problem = model_.submit(parsed, clock_.now()).value_or("");
  }
  if (!problem.empty()) {
    responder->respond(status, jsonHeaders(), Json{{"error", problem}, {"ran", false}}.dump());
    return;
  }
  streams_[parsed.attempt] = responder;
  responder->beginStream({});
  responder->onClosed([this, attempt = parsed.attempt] {
    streams_.erase(attempt);
    model_.cancel(attempt);
  });
}

void EmulatedEngine::order(const http::Request& request,
                           const std::shared_ptr<http::Responder>& responder) {
  std::string problem;
  const auto parsed = base::recover([&] { return runtime::parseEngineCommand(request.body); },
                                    [&](const base::Error& error) {
                                      problem = error.message;
                                      return engine::EngineCommand{};
                                    });
  if (!problem.empty()) {
    responder->respond(kBadRequest, jsonHeaders(), Json{{"error", problem}}.dump());
    return;
  }
  responder->respond(kOk, jsonHeaders(), runtime::toJson(model_.order(parsed, clock_.now())));
}

void EmulatedEngine::load(const http::Request& request,
                          const std::shared_ptr<http::Responder>& responder) {
  runtime::EngineLoadReport report;
  report.status = model_.report(clock_.now());
  const std::uint64_t after = numberOr(request.queryValue("cache_after"), 0);
  report.cacheEvents = model_.cacheEventsAfter(after, clock_.now());
  report.cacheSequence = report.cacheEvents.empty() ? after : report.cacheEvents.back().sequence;
  responder->respond(kOk, jsonHeaders(), runtime::toJson(report));
}

void EmulatedEngine::cacheTransfer(const http::Request& request,
                                   const std::shared_ptr<http::Responder>& responder) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder->respond(kBadRequest, jsonHeaders(), R"({"error":"not valid JSON"})");
    return;
  }
  if (request.path == "/v1/kv/export") {
    const engine::CacheExport exported = model_.exportCache(body.value("prompt", ""));
    Json blocks = Json::array();
    for (const std::uint64_t block : exported.blocks) {
      blocks.push_back(std::to_string(block));
    }
    responder->respond(kOk, jsonHeaders(),
                       Json{{"blocks", blocks}, {"bytes", exported.bytes}}.dump());
    return;
  }
  engine::CacheExport imported;
  for (const Json& block : body.value("blocks", Json::array())) {
    imported.blocks.push_back(numberOr(block.is_string() ? block.get<std::string>() : "", 0));
  }
  model_.importCache(imported, clock_.now());
  responder->respond(kOk, jsonHeaders(), "{}");
}

void EmulatedEngine::advance() {
  engine::EngineOutput output;
  model_.advance(clock_.now(), output);
  for (const engine::Chunk& chunk : output.chunks) {
    const auto found = streams_.find(chunk.attempt);
    if (found != streams_.end()) {
      found->second->sendEvent(runtime::toJson(chunk));
    }
  }
  for (const engine::AttemptEnd& end : output.ends) {
    const auto found = streams_.find(end.attempt);
    if (found != streams_.end()) {
      found->second->sendEvent(runtime::toJson(end));
      found->second->endStream();
      streams_.erase(found);
    }
  }
}

void EmulatedEngine::schedule() {
  const auto next = model_.nextStepAt();
  if (!next) {
    return;
  }
  timer_.expires_after(std::max(*next - clock_.now(), base::Duration{0}));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      advance();
      schedule();
    }
  });
}

std::uint64_t EmulatedEngine::notRepeatableRunTwice() const {
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> counts;
  std::uint64_t doubled = 0;
  for (const auto& [attempt, run] : model_.runs()) {
    if (run.notRepeatable && ++counts[{run.prompt, run.seed}] > 1) {
      ++doubled;
    }
  }
  return doubled;
}

}  // namespace tackpick::emulator
