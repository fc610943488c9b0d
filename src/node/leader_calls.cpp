#include "node/leader_calls.h"

#include <utility>
#include <vector>

namespace tackpick::node {
namespace {

/// Timeout of a call. The receiver may still carry it out afterwards.
constexpr base::Duration kCallTimeout = base::milliseconds(1500);

}  // namespace

LeaderCalls::~LeaderCalls() {
  for (const auto& [id, call] : m_calls) {
    m_upstream.cancel(call.exchange);
  }
}

void LeaderCalls::start(http::UpstreamRequest request, consensus::Term term, Callback callback) {
  const std::uint64_t id = ++m_lastId;
  request.maySend = [this, term] { return isPermitted(term); };
  http::UpstreamEvents events;
  events.onHead = [this, id](int status, const http::HeaderList&) {
    const auto found = m_calls.find(id);
    if (found != m_calls.end()) {
      found->second.status = status;
    }
  };
  events.onEnd = [this, id](const http::UpstreamResult& end) { onEnd(id, end); };
  Call& call = m_calls[id];
  call.term = term;
  call.startedAt = m_clock.now();
  call.callback = std::move(callback);
  call.exchange = m_upstream.start(std::move(request), std::move(events));
}

void LeaderCalls::abortExpired() {
  std::vector<std::pair<std::uint64_t, std::string>> expired;
  for (const auto& [id, call] : m_calls) {
    if (!isPermitted(call.term)) {
      expired.emplace_back(id, "the leader lease has ended");
    } else if (m_clock.now() - call.startedAt > kCallTimeout) {
      expired.emplace_back(id, "no response within the timeout");
    }
  }
  for (const auto& [id, error] : expired) {
    abort(id, error);
  }
}

void LeaderCalls::abort(std::uint64_t id, const std::string& error) {
  const http::ExchangeId exchange = m_calls.at(id).exchange;
  LeaderCallResult result;
  result.error = error;
  if (const auto sentAt = m_upstream.cancel(exchange)) {
    result.sentAfter = *sentAt - m_calls.at(id).startedAt;
  }
  finish(id, std::move(result));
}

void LeaderCalls::onEnd(std::uint64_t id, const http::UpstreamResult& end) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  LeaderCallResult result;
  result.complete = end.complete;
  result.error = end.error;
  if (end.sentAt) {
    result.sentAfter = *end.sentAt - found->second.startedAt;
  }
  finish(id, std::move(result));
}

void LeaderCalls::finish(std::uint64_t id, LeaderCallResult result) {
  const auto found = m_calls.find(id);
  const Call call = std::move(found->second);
  m_calls.erase(found);
  result.status = call.status;
  result.age = m_clock.now() - call.startedAt;
  call.callback(result);
}

}  // namespace tackpick::node
