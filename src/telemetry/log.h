/// \file
/// Writes numbered events to the log (glog) on standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "telemetry/event.h"

namespace tackpick::telemetry {

/// Sets up logging to standard output. Call once, first. Lines are gathered until flushLog() or
/// the end of the process.
void initialiseLogging(const std::string& program);
/// Logs `E<number> <name> <detail>`; `detail` is `key=value` pairs.
void logEvent(EventId id, const std::string& detail);
/// Writes out what was logged, as far as the reader takes it; never blocks. Warnings and errors
/// are written at once.
void flushLog();

/// Counters since the start.
struct LogCounters {
  std::uint64_t droppedLines = 0;
  std::uint64_t writtenBytes = 0;
};
[[nodiscard]] LogCounters logCounters();

/// Builds the `key=value` pairs of an event. Blanks and line ends in values become underscores, so
/// that a line always splits at its blanks.
class EventFields {
 public:
  EventFields& add(std::string_view key, std::string_view value);
  EventFields& add(std::string_view key, std::uint64_t value);
  /// In whole milliseconds.
  EventFields& add(std::string_view key, base::Duration value);
  [[nodiscard]] const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

}  // namespace tackpick::telemetry
