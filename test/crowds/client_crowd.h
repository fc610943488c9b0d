/// \file
/// Many clients of one listener that send by a script, on raw sockets.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tackpick::test {

/// What each client of a crowd sends.
struct ClientScript {
  std::string head;                    ///< sent first
  std::string piece = {};              ///< sent repeatedly after the head
  std::size_t bytesOfPieces = 0;       ///< number of bytes to send after the head
  std::chrono::milliseconds pause{0};  ///< between two pieces
};

/// Returns the head of a POST that announces a body of `length` bytes.
[[nodiscard]] std::string headWithLength(const std::string& path, std::size_t length);
/// Returns the head of a POST with a chunked body.
[[nodiscard]] std::string chunkedHead(const std::string& path);
/// Returns `data` as one chunk of a chunked body.
[[nodiscard]] std::string chunk(const std::string& data);

/// Clients that follow the same script on connections of their own and keep them open until the
/// destructor, whether or not they have sent everything.
class ClientCrowd {
 public:
  ClientCrowd(const std::string& host, std::uint16_t port, ClientScript script, std::size_t count);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends until every client has sent everything or was closed, or until no client has made
  /// progress for two seconds. Then waits for the server to handle what is in its sockets.
  void send();
  /// Returns the number of clients whose connection broke while they were sending.
  [[nodiscard]] std::size_t closedCount() const;
  /// Returns what the clients have received so far.
  [[nodiscard]] std::vector<std::string> responses();

 private:
  struct Client {
    int socket = -1;
    std::size_t sent = 0;
    bool closed = false;
    std::chrono::steady_clock::time_point nextPieceAt{};
    std::string received;
  };

  [[nodiscard]] std::size_t totalBytes() const {
    return m_script.head.size() + m_script.bytesOfPieces;
  }
  [[nodiscard]] bool done(const Client& client) const {
    return client.closed || client.sent >= totalBytes();
  }
  /// Sends as much as the socket takes. Returns whether the client made progress.
  bool advance(Client& client);
  void receive(Client& client);

  const ClientScript m_script;
  std::vector<Client> m_clients;
};

}  // namespace tackpick::test
