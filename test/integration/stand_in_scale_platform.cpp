#include "integration/stand_in_scale_platform.h"

#include "http/status.h"
#include "runtime/json.h"

namespace tackpick::test {

StandInScalePlatform::StandInScalePlatform()
    : m_server(
          m_context, "127.0.0.1", 0, {},
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            answer(request, exchange);
          }),
      m_thread([this] { m_context.run(); }) {}

StandInScalePlatform::~StandInScalePlatform() {
  m_context.stop();
  m_thread.join();
}

void StandInScalePlatform::setUnresponsive(bool unresponsive) {
  const std::lock_guard lock(m_mutex);
  m_unresponsive = unresponsive;
}

std::vector<StandInScalePlatform::Call> StandInScalePlatform::calls() const {
  const std::lock_guard lock(m_mutex);
  return m_calls;
}

void StandInScalePlatform::answer(const http::RawRequest& request,
                                  const std::shared_ptr<http::Exchange>& exchange) {
  const std::lock_guard lock(m_mutex);
  if (request.target == "/scale") {
    const runtime::Json body = runtime::Json::parse(request.body);
    m_calls.push_back({request.headers.value("Duty-Holder"),
                       std::stoull(request.headers.value("Fencing-Token")), body["zone"],
                       body["desiredCount"]});
    if (m_unresponsive) {
      m_unanswered.push_back(exchange);
      return;
    }
  }
  exchange->respond(http::status::kOk, {}, {});
}

}  // namespace tackpick::test
