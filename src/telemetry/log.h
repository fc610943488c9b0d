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

/// Initialises logging to standard output. Must be called once, before any other logging function.
/// Lines are buffered until flushLog() or the end of the process.
void initialiseLogging(const std::string& program);
/// Logs `E<number> <name> <fields>`, where `fields` is a list of `key=value` pairs.
void logEvent(EventId id, const std::string& fields);
/// Writes the buffered lines as far as the reader accepts them, without blocking. Warnings and
/// errors are written immediately when they are logged.
void flushLog();

/// Counters since the start.
struct LogCounters {
  std::uint64_t droppedLines = 0;
  std::uint64_t writtenBytes = 0;
};
[[nodiscard]] LogCounters logCounters();

/// Builds the `key=value` pairs of an event. Spaces and line ends in values are replaced by
/// underscores, so that a line can be split at its spaces.
class EventFields {
 public:
  EventFields& add(std::string_view key, std::string_view value);
  EventFields& add(std::string_view key, std::uint64_t value);
  /// Adds the value in milliseconds, rounded down.
  EventFields& add(std::string_view key, base::Duration value);
  [[nodiscard]] const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

}  // namespace tackpick::telemetry
