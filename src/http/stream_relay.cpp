#include "http/stream_relay.h"

namespace tackpick::http {

void StreamRelay::begin(int status, const HeaderList& headers) {
  m_to->begin(status, headers);
  m_to->onDrained([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->resume();
    }
  });
}

bool StreamRelay::pass(std::string_view data) {
  m_to->write(data);
  if (m_paused || m_to->unsentBytes() <= m_maxUnsent) {
    return false;
  }
  m_paused = true;
  m_upstream.pause(m_from);
  return true;
}

void StreamRelay::resume() {
  if (m_paused) {
    m_paused = false;
    m_upstream.resume(m_from);
  }
}

}  // namespace tackpick::http
