#include "crowds/client_crowd.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <thread>
#include <utility>

namespace tackpick::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxReceivedBytes = 4096;

}  // namespace

std::string headWithLength(const std::string& path, std::size_t length) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: batches.example\r\nRequest-Id: crowd\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

std::string chunkedHead(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: batches.example\r\nRequest-Id: crowd\r\nTransfer-Encoding: "
         "chunked\r\n\r\n";
}

std::string chunk(const std::string& data) {
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return std::string(size.data(), static_cast<std::size_t>(digits)) + data + "\r\n";
}

ClientCrowd::ClientCrowd(const std::string& host, std::uint16_t port, ClientScript script,
                         std::size_t count)
    : m_script(std::move(script)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  for (std::size_t i = 0; i < count; ++i) {
    Client client;
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    cr_assert_geq(client.socket, 0, "no socket for client %zu", i);
    (void)connect(client.socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    m_clients.push_back(client);
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : m_clients) {
    close(client.socket);
  }
}

bool ClientCrowd::advance(Client& client) {
  bool progressed = false;
  while (!done(client) && Clock::now() >= client.nextPieceAt) {
    std::string_view next = m_script.head;
    if (client.sent < next.size()) {
      next.remove_prefix(client.sent);
    } else {
      const std::size_t offset = (client.sent - next.size()) % m_script.piece.size();
      next = std::string_view(m_script.piece).substr(offset);
      next = next.substr(0, totalBytes() - client.sent);
    }
    const ssize_t count = ::send(client.socket, next.data(), next.size(), MSG_NOSIGNAL);
    if (count < 0) {
      client.closed = errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS;
      return progressed || client.closed;
    }
    progressed = true;
    client.sent += static_cast<std::size_t>(count);
    if (m_script.pause.count() > 0 && static_cast<std::size_t>(count) == next.size()) {
      client.nextPieceAt = Clock::now() + m_script.pause;
    }
  }
  return progressed;
}

void ClientCrowd::receive(Client& client) {
  std::array<char, kMaxReceivedBytes> buffer{};
  const ssize_t count = recv(client.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count > 0 && client.received.size() < kMaxReceivedBytes) {
    client.received.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

void ClientCrowd::send() {
  constexpr auto kMaxQuietTime = std::chrono::seconds(2);
  constexpr auto kPollInterval = std::chrono::milliseconds(2);
  constexpr auto kHandlingTime = std::chrono::milliseconds(1500);
  auto progressedAt = Clock::now();
  const auto isDone = [this](const Client& client) { return done(client); };
  while (!std::all_of(m_clients.begin(), m_clients.end(), isDone) &&
         Clock::now() - progressedAt < kMaxQuietTime) {
    for (Client& client : m_clients) {
      if (advance(client)) {
        progressedAt = Clock::now();
      }
      receive(client);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::this_thread::sleep_for(kHandlingTime);
}

std::size_t ClientCrowd::closedCount() const {
  return static_cast<std::size_t>(std::count_if(
      m_clients.begin(), m_clients.end(), [](const Client& client) { return client.closed; }));
}

std::vector<std::string> ClientCrowd::responses() {
  std::vector<std::string> texts;
  for (Client& client : m_clients) {
    receive(client);
    texts.push_back(client.received);
  }
  return texts;
}

}  // namespace tackpick::test
