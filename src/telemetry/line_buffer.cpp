#include "telemetry/line_buffer.h"

namespace tackpick::telemetry {

void LineBuffer::add(std::string_view line) {
  std::string notice;
  if (m_dropped > m_reportedDrops) {
    notice = "log_lines_dropped count=" + std::to_string(m_dropped - m_reportedDrops) + "\n";
  }
  if (m_bytes.size() + notice.size() + line.size() + 1 > m_capacity) {
    ++m_dropped;
    return;
  }
  m_reportedDrops = m_dropped;
  m_bytes += notice;
  m_bytes += line;
  m_bytes += '\n';
}

void LineBuffer::flush() {
  if (m_bytes.empty()) {
    return;
  }
  const std::size_t written = m_sink.write(m_bytes);
  m_bytes.erase(0, written);
  m_written += written;
}

}  // namespace tackpick::telemetry
