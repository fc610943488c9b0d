/// \file
/// Child processes, ports, HTTP calls and waiting for conditions, for tests with real processes.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tackpick::test {

/// Child process running a program of the build directory. The destructor kills it.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& logFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  /// Kills the process and waits until it has exited.
  void kill();
  /// Waits until the process has exited; returns its exit code, or the negated signal number.
  int wait();
  [[nodiscard]] bool hasExited();
  /// Returns the peak of the process's resident memory.
  [[nodiscard]] std::size_t peakKilobytes() const;
  /// Returns the number of open file descriptors.
  [[nodiscard]] std::size_t openDescriptors() const;

 private:
  pid_t m_pid = 0;
  bool m_exited = false;
  int m_status = 0;
};

/// Returns a free port, which stays reserved until the test process exits.
[[nodiscard]] std::uint16_t reservePort();

struct HttpResponse {
  int status = 0;  ///< zero: no complete response
  std::string body;
  std::map<std::string, std::string> headers;  ///< names in lower case
};

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::string body = {};
  std::string token = {};
  std::map<std::string, std::string> headers = {};
  long timeoutSeconds = 60;
};

[[nodiscard]] HttpResponse sendRequest(const HttpRequest& request);
/// Sends a request on a curl handle, which keeps its connection open for the next request.
[[nodiscard]] HttpResponse sendRequestOn(void* connection, const HttpRequest& request);

/// Polls until the condition holds; fails the test after a timeout.
void waitUntil(const std::function<bool()>& condition, const std::string& what);

}  // namespace tackpick::test
