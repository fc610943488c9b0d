/// \file
/// Non-blocking buffer for log lines. If the reader stalls, lines are dropped, and a later line
/// reports their number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace tackpick::telemetry {

/// Non-blocking output. The daemon writes to a file descriptor, tests to a string.
class ByteSink {
 public:
  virtual ~ByteSink() = default;
  /// Returns the number of bytes written, which is less than the size of `bytes` if the reader is
  /// slow.
  virtual std::size_t write(std::string_view bytes) = 0;
};

/// Buffers lines to combine them into fewer writes. Not thread-safe.
class LineBuffer {
 public:
  LineBuffer(ByteSink& sink, std::size_t capacity) : m_sink(sink), m_capacity(capacity) {}

  /// Adds a line, given without its line end. The line is dropped and counted if the buffer is
  /// full.
  void add(std::string_view line);
  /// Writes as much as the sink accepts.
  void flush();
  [[nodiscard]] std::uint64_t droppedLines() const { return m_dropped; }
  [[nodiscard]] std::uint64_t writtenBytes() const { return m_written; }

 private:
  ByteSink& m_sink;
  const std::size_t m_capacity;
  std::string m_bytes;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reportedDrops = 0;
  std::uint64_t m_written = 0;
};

}  // namespace tackpick::telemetry
