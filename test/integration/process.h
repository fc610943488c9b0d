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

/// A program of the build folder, started by the test and ended with it.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& logFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  /// Kills it and waits for its end.
  void kill();
  /// Waits for its end; the exit code, or minus the signal's number.
  int wait();
  [[nodiscard]] bool hasRestarted();

 private:
  pid_t pid_ = 0;
  bool ended_ = false;
  int status_ = 0;
};

/// A port of the operating system's choice, kept for this test until it ends.
[[nodiscard]] std::uint16_t reservePort();

struct HttpAnswer {
  int status = 0;  ///< zero: no whole answer
  std::string body;
  std::map<std::string, std::string> headers;  ///< names in lower case
};

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::string body = {};
  std::string token = {};
  std::map<std::string, std::string> headers = {};
  long timeoutSeconds = 60;
};

[[nodiscard]] HttpAnswer call(const HttpCall& request);
/// The same on a curl handle, which keeps its connection for the next call.
[[nodiscard]] HttpAnswer callOn(void* connection, const HttpCall& request);

/// Polls until the condition holds; fails the test when it never does. The verdict depends on the
/// condition only: the limit is far beyond any healthy run.
void waitUntil(const std::function<bool()>& condition, const std::string& what);

}  // namespace tackpick::test
