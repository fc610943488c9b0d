#include "http/stream_relay.h"

namespace tackpick::http {

void StreamRelay::begin(int status, const HeaderList& headers) {
  m_downstream->begin(status, headers);
  m_downstream->onDrained([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->resume();
    }
  });
}

bool StreamRelay::forwardData(std::string_view data) {
  m_downstream->write(data);
  if (m_paused || m_downstream->unsentBytes() <= m_maxUnsent) {
    return false;
  }
  m_paused = true;
  m_upstream.pause(m_upstreamExchange);
  return true;
}

void StreamRelay::resume() {
  if (m_paused) {
    m_paused = false;
    m_upstream.resume(m_upstreamExchange);
  }
}

}  // namespace tackpick::http
