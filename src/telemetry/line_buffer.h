/// \file
/// Lines of the log on their way to standard output. Writing never blocks: a reader that stalls
/// loses lines, and how many is said in a line of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace tackpick::telemetry {

/// Where bytes go without blocking. The daemon writes to a descriptor, tests to a string.
class ByteSink {
 public:
  virtual ~ByteSink() = default;
  /// Returns how many bytes were taken; fewer than offered when the reader is slow.
  virtual std::size_t write(std::string_view bytes) = 0;
};

/// Gathers lines so that one write carries many. Owned by one thread.
class LineBuffer {
 public:
  LineBuffer(ByteSink& sink, std::size_t capacity) : m_sink(sink), m_capacity(capacity) {}

  /// Adds a line, without its end. It is dropped and counted when the buffer is full.
  void add(std::string_view line);
  /// Hands over what the sink takes.
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
