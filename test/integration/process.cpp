#include "integration/process.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <thread>

namespace tackpick::test {
namespace {

std::string buildDirectory() {
  const char* folder = std::getenv("TACKPICK_BUILD");
  return folder == nullptr ? "build" : folder;
}

std::size_t collectBody(char* data, std::size_t size, std::size_t count, void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

std::size_t collectHeader(char* data, std::size_t size, std::size_t count, void* target) {
  std::string line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t first = line.find_first_not_of(' ', colon + 1);
    const std::size_t last = line.find_last_not_of("\r\n ");
    const bool empty = first == std::string::npos || last < first;
    (*static_cast<std::map<std::string, std::string>*>(target))[name] =
        empty ? "" : line.substr(first, last - first + 1);
  }
  return size * count;
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& logFile) {
  const std::string path = buildDirectory() + "/" + program;
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  m_pid = fork();
  cr_assert_geq(m_pid, 0, "cannot start %s", path.c_str());
  if (m_pid == 0) {
    // Kills the child when the test process exits, even if the test fails.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr mode_t kMode = 0644;
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(path.c_str(), argv.data());
    _exit(127);
  }
}

Process::~Process() { kill(); }

void Process::signal(int number) const {
  if (!m_exited) {
    ::kill(m_pid, number);
  }
}

std::size_t Process::peakKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kPeak = "VmHWM:";
    if (line.starts_with(kPeak)) {
      return std::stoul(line.substr(kPeak.size()));
    }
  }
  return 0;
}

std::size_t Process::openDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator begin("/proc/" + std::to_string(m_pid) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin, std::filesystem::directory_iterator()));
}

void Process::kill() {
  signal(SIGKILL);
  signal(SIGCONT);
  wait();
}

int Process::wait() {
  if (!m_exited) {
    waitpid(m_pid, &m_status, 0);
    m_exited = true;
  }
  return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -WTERMSIG(m_status);
}

bool Process::hasExited() {
  m_exited = m_exited || waitpid(m_pid, &m_status, WNOHANG) == m_pid;
  return m_exited;
}

std::uint16_t reservePort() {
  // The socket stays bound but does not listen: no other process or outgoing connection gets the
  // port, while a listener with SO_REUSEADDR can still bind it.
  const int reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  cr_assert_eq(bind(reservation, reinterpret_cast<sockaddr*>(&address), length), 0);
  const int reuse = 1;
  setsockopt(reservation, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  getsockname(reservation, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

HttpResponse sendRequest(const HttpRequest& request) {
  CURL* easy = curl_easy_init();
  HttpResponse response = sendRequestOn(easy, request);
  curl_easy_cleanup(easy);
  return response;
}

HttpResponse sendRequestOn(void* connection, const HttpRequest& request) {
  HttpResponse response;
  CURL* easy = connection;
  curl_easy_reset(easy);
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  headers = curl_slist_append(headers, "Content-Type: application/json");
  if (!request.token.empty()) {
    headers = curl_slist_append(headers, ("Authorization: Bearer " + request.token).c_str());
  }
  for (const auto& [name, value] : request.headers) {
    headers = curl_slist_append(headers, (name + ": " + value).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT, request.timeoutSeconds);
  if (request.method != "GET" && request.method != "POST") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
  if (request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collectBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, collectHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response.headers);
  if (curl_easy_perform(easy) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  return response;
}

void waitUntil(const std::function<bool()>& condition, const std::string& what) {
  constexpr auto kTimeout = std::chrono::seconds(120);
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    cr_assert(std::chrono::steady_clock::now() < deadline, "timed out waiting for: %s",
              what.c_str());
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace tackpick::test
