#include "runtime/engine_client.h"

#include <utility>

namespace tackpick::runtime {

void EngineClient::setAddress(base::EngineId engine, const std::string& host, std::uint16_t port) {
  addresses_[engine] = "http://" + host + ":" + std::to_string(port);
}

std::string EngineClient::url(base::EngineId engine, const std::string& path) const {
  const auto found = addresses_.find(engine);
  return (found == addresses_.end() ? "http://127.0.0.1:1" : found->second) + path;
}

void EngineClient::startAttempt(base::EngineId engine, const engine::GenerateRequest& request) {
  http::ClientRequest httpRequest;
  httpRequest.method = "POST";
  httpRequest.url = url(engine, "/v1/generate");
  httpRequest.headers["Content-Type"] = "application/json";
  httpRequest.body = toJson(request);
  httpRequest.newConnection = request.notRepeatable;
  const base::AttemptId attempt = request.attempt;
  attempts_[attempt].transfer = client_.start(
      httpRequest, [this, attempt](std::string_view bytes) { onStreamData(attempt, bytes); },
      [this, attempt](const http::ClientResult& result) { onStreamDone(attempt, result); });
}

void EngineClient::onStreamData(base::AttemptId attempt, std::string_view bytes) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  // The events are collected before they are reported, because a callback may cancel and erase the
  // attempt.
  std::vector<StreamEvent> parsed;
  const bool valid = found->second.parser.feed(bytes, [&](std::string_view data) {
    if (auto event = parseStreamEvent(data, attempt)) {
      parsed.push_back(std::move(*event));
    }
  });
  for (const StreamEvent& event : parsed) {
    const auto current = attempts_.find(attempt);
    if (current == attempts_.end() || current->second.ended) {
      return;
    }
    if (event.chunk) {
      events_.onChunk(*event.chunk);
    } else if (event.end) {
      current->second.ended = true;
      events_.onEnd(*event.end);
    }
  }
  const auto current = attempts_.find(attempt);
  if (valid || current == attempts_.end() || current->second.ended) {
    return;
  }
  cancelAttempt({}, attempt);
  engine::AttemptEnd end;
  end.attempt = attempt;
  end.kind = engine::EndKind::kLost;
  end.verdict = base::Verdict::kMayHaveRun;
  end.message = "an event is too long";
  events_.onEnd(end);
}

void EngineClient::onStreamDone(base::AttemptId attempt, const http::ClientResult& result) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const bool ended = found->second.ended;
  attempts_.erase(found);
  if (ended) {
    return;
  }
  engine::AttemptEnd end;
  end.attempt = attempt;
  end.kind = engine::EndKind::kLost;
  end.verdict = result.verdict;
  end.message = result.error.empty() ? "the stream ended early" : result.error;
  const Json body = result.complete ? Json::parse(result.body, nullptr, false) : Json();
  const bool rejected = body.is_object() && body.contains("ran") && body["ran"].is_boolean() &&
                        !body["ran"].get<bool>();
  if (rejected) {
    end.kind = engine::EndKind::kRejected;
    end.verdict = base::Verdict::kNotRun;
    end.message = body.value("error", "refused");
  }
  events_.onEnd(end);
}

void EngineClient::cancelAttempt(base::EngineId /*engine*/, base::AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  // Engines cancel an attempt when its connection is closed.
  client_.cancel(found->second.transfer);
  attempts_.erase(found);
}

void EngineClient::pollLoad(base::EngineId engine) {
  if (m_pendingPolls.contains(engine)) {
    return;
  }
  http::ClientRequest httpRequest;
  httpRequest.url = url(engine, "/v1/load?cache_after=" + std::to_string(cache_sequences_[engine]));
  httpRequest.timeout = base::seconds(1);
  m_pendingPolls[engine] =
      client_.start(httpRequest, nullptr, [this, engine](const http::ClientResult& result) {
        m_pendingPolls.erase(engine);
        constexpr int kOk = 200;
        auto report = result.complete && result.status == kOk ? parseEngineLoadReport(result.body)
                                                              : std::nullopt;
        if (report) {
          cache_sequences_[engine] = report->cacheSequence;
          events_.onReport(engine, *report);
        }
      });
}

void EngineClient::sendLoadCommand(base::EngineId engine, const engine::EngineCommand& command) {
  http::ClientRequest httpRequest;
  httpRequest.method = "POST";
  httpRequest.url = url(engine, "/v1/orders");
  httpRequest.headers["Content-Type"] = "application/json";
  httpRequest.body = toJson(command);
  httpRequest.timeout = base::seconds(2);
  client_.start(httpRequest, nullptr, [this, engine](const http::ClientResult& result) {
    const auto reply = result.complete ? parseEngineCommandReply(result.body) : std::nullopt;
    if (reply) {
      events_.onCommandReply(engine, *reply);
    } else if (events_.onCommandFailed) {
      events_.onCommandFailed(engine);
    }
  });
}

}  // namespace tackpick::runtime
