#include "http/server.h"

#include <algorithm>
#include <cctype>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

namespace tackpick::http {
namespace {

using Closed = std::function<void()>;

/// Connections with an unanswered request, by RESTinio's connection number.
class OpenRequests {
 public:
  void add(restinio::connection_id_t connection, Closed callback) {
    callbacks_[connection] = std::move(callback);
  }
  void remove(restinio::connection_id_t connection) { callbacks_.erase(connection); }
  void closed(restinio::connection_id_t connection) {
    const auto found = callbacks_.find(connection);
    if (found != callbacks_.end()) {
      const Closed callback = std::move(found->second);
      callbacks_.erase(found);
      callback();
    }
  }

 private:
  std::unordered_map<restinio::connection_id_t, Closed> callbacks_;
};

/// Learns from RESTinio when a connection closes.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<OpenRequests> open) : open_(std::move(open)) {}

  // The name is RESTinio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      open_->closed(notice.connection_id());
    }
  }

 private:
  std::shared_ptr<OpenRequests> open_;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using connection_state_listener_t = ConnectionListener;
};

using HttpServer = restinio::http_server_t<ServerTraits>;

restinio::http_status_line_t statusLine(int status) {
  static const std::map<int, std::string> kReasons = {
      {200, "OK"},
      {202, "Accepted"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {409, "Conflict"},
      {410, "Gone"},
      {413, "Payload Too Large"},
      {421, "Misdirected Request"},
      {422, "Unprocessable Entity"},
      {429, "Too Many Requests"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  };
  const auto found = kReasons.find(status);
  const std::string reason = found == kReasons.end() ? "Status" : found->second;
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, reason};
}

class RestinioResponder final : public Responder,
                                public std::enable_shared_from_this<RestinioResponder> {
 public:
  RestinioResponder(restinio::request_handle_t request, std::shared_ptr<OpenRequests> open)
      : request_(std::move(request)),
        connection_(request_->connection_id()),
        open_(std::move(open)) {}
  RestinioResponder(const RestinioResponder&) = delete;
  RestinioResponder& operator=(const RestinioResponder&) = delete;

  ~RestinioResponder() override {
    if (!done_) {
      open_->remove(connection_);
    }
  }

  void respond(int status, const Headers& headers, std::string body) override {
    if (std::exchange(done_, true)) {
      return;
    }
    open_->remove(connection_);
    auto response = request_->create_response(statusLine(status));
    for (const auto& [name, value] : headers) {
      response.append_header(name, value);
    }
    response.set_body(std::move(body));
    response.done();
  }

  void beginStream(const Headers& headers) override {
    stream_ = std::make_unique<Stream>(
        request_->create_response<restinio::chunked_output_t>(statusLine(200)));
    stream_->append_header(restinio::http_field::content_type, "text/event-stream");
    stream_->append_header(restinio::http_field::cache_control, "no-store");
    for (const auto& [name, value] : headers) {
      stream_->append_header(name, value);
    }
    stream_->flush();
  }

  void sendEvent(std::string_view data) override {
    if (!stream_ || done_) {
      return;
    }
    std::string event;
    constexpr std::size_t kFraming = 8;
    event.reserve(data.size() + kFraming);
    event.append("data: ").append(data).append("\n\n");
    const std::size_t size = event.size();
    unsent_ += size;
    stream_->append_chunk(std::move(event));
    stream_->flush([self = shared_from_this(), size](const asio::error_code& /*error*/) {
      self->unsent_ -= std::min(size, self->unsent_);
    });
  }

  void endStream() override {
    if (std::exchange(done_, true) || !stream_) {
      return;
    }
    open_->remove(connection_);
    stream_->done();
    stream_.reset();
  }

  void abort() override {
    if (std::exchange(done_, true)) {
      return;
    }
    open_->remove(connection_);
    if (stream_) {
      // Closing without the last chunk tells the client that the answer is incomplete.
      stream_->connection_close();
      stream_.reset();
    }
    request_.reset();
  }

  void onClosed(std::function<void()> callback) override {
    open_->add(connection_, [weak = weak_from_this(), callback = std::move(callback)] {
      if (const auto self = weak.lock()) {
        self->done_ = true;
      }
      callback();
    });
  }

  [[nodiscard]] std::size_t unsentBytes() const override { return unsent_; }

 private:
  using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

  restinio::request_handle_t request_;
  restinio::connection_id_t connection_;
  std::shared_ptr<OpenRequests> open_;
  std::unique_ptr<Stream> stream_;
  std::size_t unsent_ = 0;
  bool done_ = false;
};

std::string toLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

Request convert(const restinio::request_t& source) {
  Request request;
  request.method = source.header().method().c_str();
  request.path = std::string(source.header().path());
  try {
    const auto query = restinio::parse_query(source.header().query());
    for (const auto& [name, value] : query) {
      request.query[std::string(name)] = std::string(value);
    }
  } catch (const std::exception&) {
    request.query.clear();  // a malformed query is as good as none
  }
  source.header().for_each_field([&](const restinio::http_header_field_t& field) {
    request.headers[toLower(field.name())] = field.value();
  });
  request.body = source.body();
  return request;
}

}  // namespace

std::string Request::header(const std::string& lowerCaseName) const {
  const auto found = headers.find(lowerCaseName);
  return found == headers.end() ? std::string() : found->second;
}

std::string Request::queryValue(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

class Server::Implementation {
 public:
  Implementation(asio::io_context& context, const ServerSettings& settings, Handler handler)
      : open_(std::make_shared<OpenRequests>()),
        server_(restinio::external_io_context(context),
                [&](auto& options) { configure(options, settings, std::move(handler)); }) {
    server_.open_sync();
  }

  HttpServer& server() { return server_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  template <typename Options>
  void configure(Options& options, const ServerSettings& settings, Handler handler) {
    const auto limits = restinio::incoming_http_msg_limits_t{}
                            .max_url_size(settings.maximumHeaderBytes)
                            .max_field_name_size(settings.maximumHeaderBytes)
                            .max_field_value_size(settings.maximumHeaderBytes)
                            .max_field_count(settings.maximumHeaderCount)
                            .max_body_size(settings.maximumBodyBytes);
    constexpr auto kLongestHandling = std::chrono::hours(24);
    options.address(settings.host)
        .port(settings.port)
        .incoming_http_msg_limits(limits)
        .read_next_http_message_timelimit(std::chrono::seconds(settings.readTimeoutSeconds))
        .write_http_response_timelimit(std::chrono::seconds(settings.writeTimeoutSeconds))
        .handle_request_timeout(kLongestHandling)
        .max_pipelined_requests(1)
        .connection_state_listener(std::make_shared<ConnectionListener>(open_))
        .acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
        .acceptor_options_setter([](restinio::acceptor_options_t& acceptor) {
          acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](restinio::socket_options_t& socket) {
          socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .request_handler(
            [open = open_, handler = std::move(handler)](restinio::request_handle_t request) {
              const Request converted = convert(*request);
              handler(converted, std::make_shared<RestinioResponder>(std::move(request), open));
              return restinio::request_accepted();
            });
  }

  std::shared_ptr<OpenRequests> open_;
  std::uint16_t port_ = 0;
  HttpServer server_;
};

Server::Server(asio::io_context& context, const ServerSettings& settings, Handler handler)
    : implementation_(std::make_unique<Implementation>(context, settings, std::move(handler))) {}

Server::~Server() = default;

std::uint16_t Server::port() const { return implementation_->port(); }

void Server::stop() { implementation_->server().close_sync(); }

}  // namespace tackpick::http
