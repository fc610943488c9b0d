#include "telemetry/log.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "telemetry/line_buffer.h"

namespace tackpick::telemetry {
namespace {

/// Maximum size of the lines buffered for a slow reader.
constexpr std::size_t kBufferBytes = 256U << 10U;

/// Standard output in non-blocking mode.
class StandardOutput final : public ByteSink {
 public:
  StandardOutput() {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
  std::size_t write(std::string_view bytes) override {
    const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (written >= 0) {
      return static_cast<std::size_t>(written);
    }
    const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return full ? 0 : bytes.size();  // discards the bytes after a permanent error
  }
};

/// A glog sink that buffers lines. glog holds its own lock during the calls.
class BufferedLogSink final : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*fullFilename*/, const char* baseFilename,
            int line, const google::LogMessageTime& time, const char* message,
            std::size_t length) override {
    m_buffer.add(ToString(severity, baseFilename, line, time, message, length));
    if (severity != google::GLOG_INFO) {
      m_buffer.flush();
    }
  }
  [[nodiscard]] LineBuffer& buffer() { return m_buffer; }

 private:
  StandardOutput m_output;
  LineBuffer m_buffer{m_output, kBufferBytes};
};

BufferedLogSink& sink() {
  static BufferedLogSink kSink;
  return kSink;
}

}  // namespace

void initialiseLogging(const std::string& program) {
  static const std::string kProgram = program;
  google::InitGoogleLogging(kProgram.c_str());
  constexpr int kNoSeverity = google::NUM_SEVERITIES;
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = kNoSeverity;
  for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(&sink());
  std::atexit([] { flushLog(); });
}

void logEvent(EventId id, const std::string& fields) {
  const EventDescription& description = describe(id);
  const std::string line = "E" + std::to_string(static_cast<unsigned>(id)) + " " +
                           std::string(description.name) + (fields.empty() ? "" : " ") + fields;
  switch (description.severity) {
    case Severity::kInfo:
      LOG(INFO) << line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line;
      break;
    case Severity::kError:
      LOG(ERROR) << line;
      break;
  }
}

void flushLog() { sink().buffer().flush(); }

LogCounters logCounters() {
  return {sink().buffer().droppedLines(), sink().buffer().writtenBytes()};
}

EventFields& EventFields::add(std::string_view key, std::string_view value) {
  m_text += m_text.empty() ? "" : " ";
  m_text += key;
  m_text += '=';
  for (const char character : value) {
    const bool blank = character == ' ' || character == '\n' || character == '\r';
    m_text += blank ? '_' : character;
  }
  return *this;
}

EventFields& EventFields::add(std::string_view key, std::uint64_t value) {
  return add(key, std::string_view(std::to_string(value)));
}

EventFields& EventFields::add(std::string_view key, base::Duration value) {
  return add(key, std::string_view(std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(value).count())));
}

}  // namespace tackpick::telemetry
