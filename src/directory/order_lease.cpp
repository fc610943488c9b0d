#include "directory/order_lease.h"

namespace tackpick::directory {

void OrderLease::onNote(base::NodeId holder, consensus::LogIndex index, base::TimePoint now) {
  if (!m_note || m_note->index < index) {
    m_note = Note{holder, index, now};
  }
}

base::TimePoint OrderLease::freeFrom() const {
  if (!m_note || m_note->holder == m_self) {
    return {};
  }
  if (m_note->index > m_lastIndex) {
    return m_note->notedAt + m_settings.duration;
  }
  // The orders are older than this process. How much older is not known.
  return m_settings.enginesCheckFences ? base::TimePoint{} : m_startedAt + m_settings.duration;
}

}  // namespace tackpick::directory
