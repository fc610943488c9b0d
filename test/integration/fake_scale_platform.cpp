#include "integration/fake_scale_platform.h"

#include "http/status.h"
#include "runtime/json.h"

namespace tackpick::test {

FakeScalePlatform::FakeScalePlatform()
    : m_server(
          m_context, "127.0.0.1", 0, {},
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            handleRequest(request, exchange);
          }),
      m_thread([this] { m_context.run(); }) {}

FakeScalePlatform::~FakeScalePlatform() {
  m_context.stop();
  m_thread.join();
}

void FakeScalePlatform::setUnresponsive(bool unresponsive) {
  const std::lock_guard lock(m_mutex);
  m_unresponsive = unresponsive;
}

std::vector<FakeScalePlatform::Call> FakeScalePlatform::calls() const {
  const std::lock_guard lock(m_mutex);
  return m_calls;
}

void FakeScalePlatform::handleRequest(const http::RawRequest& request,
                                      const std::shared_ptr<http::Exchange>& exchange) {
  const std::lock_guard lock(m_mutex);
  if (request.target == "/scale") {
    const runtime::Json body = runtime::Json::parse(request.body);
    m_calls.push_back({request.headers.value("Duty-Holder"),
                       std::stoull(request.headers.value("Fencing-Token")), body["zone"],
                       body["desiredCount"]});
    if (m_unresponsive) {
      m_pendingExchanges.push_back(exchange);
      return;
    }
  }
  exchange->respond(http::status::kOk, {}, {});
}

}  // namespace tackpick::test
