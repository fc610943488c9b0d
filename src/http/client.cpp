#include "http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/timer.h"
#include "http/message_syntax.h"

namespace tackpick::http {
namespace {

/// Maximum size of the heads and trailers of a response, interim responses included.
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;

constexpr long kEnabled = 1;
constexpr int kMinSuccessStatus = 200;
constexpr int kMinRedirectStatus = 300;

void initialiseOnce() {
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialised);
}

}  // namespace

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation> {
 public:
  explicit Implementation(asio::io_context& context) : context_(context), timer_(context) {
    initialiseOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    constexpr long kMaxIdleConnections = 2048;
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation() {
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, transfer->handle);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
    for (auto& [socket, socketWatch] : watches_) {
      socketWatch->descriptor.release();
    }
    for (CURL* handle : m_idleHandles) {
      curl_easy_cleanup(handle);
    }
  }

  TransferId start(const ClientRequest& request, DataCallback onData, DoneCallback onDone) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = {++last_id_};
    transfer->onData = std::move(onData);
    transfer->onDone = std::move(onDone);
    transfer->body = request.body;
    transfer->maxBodyBytes = request.maxBodyBytes;
    transfer->handle = acquireHandle();
    configure(*transfer, request);
    Transfer& stored = *transfer;
    transfers_[transfer->id] = std::move(transfer);
    add(stored.id);
    return stored.id;
  }

  void cancel(TransferId id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
      return;
    }
    if (in_curl_) {
      // Handles must not be removed inside libcurl callbacks.
      found->second->cancelled = true;
      asio::post(context_, [weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
          self->cancel(id);
        }
      });
      return;
    }
    release(found);
  }

  [[nodiscard]] std::size_t active() const { return transfers_.size(); }

 private:
  struct Transfer {
    TransferId id;
    CURL* handle = nullptr;
    curl_slist* headerList = nullptr;
    DataCallback onData;
    DoneCallback onDone;
    std::string body;
    ClientResult result;
    std::size_t maxBodyBytes = 0;
    std::size_t headerBytes = 0;
    bool headComplete = false;  ///< of the last response; libcurl does not report a missing end
    bool cancelled = false;

    Transfer() = default;
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;
    ~Transfer() {
      curl_slist_free_all(headerList);
      if (handle != nullptr) {
        curl_easy_cleanup(handle);
      }
    }
  };
  using Transfers = std::unordered_map<TransferId, std::unique_ptr<Transfer>>;

  /// A socket that libcurl owns and Asio polls.
  struct SocketWatch {
    explicit SocketWatch(asio::io_context& context) : descriptor(context) {}
    asio::posix::stream_descriptor descriptor;
    int polledEvents = 0;
    bool reading = false;
    bool writing = false;
    bool removed = false;
  };

  void add(TransferId id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
      return;
    }
    if (!in_curl_) {
      curl_multi_add_handle(multi_, found->second->handle);
      return;
    }
    // Handles must not be added inside libcurl callbacks.
    asio::post(context_, [weak = weak_from_this(), id] {
      if (const auto self = weak.lock()) {
        self->add(id);
      }
    });
  }

  CURL* acquireHandle() {
    if (m_idleHandles.empty()) {
      return curl_easy_init();
    }
    CURL* handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
  }

  void release(Transfers::iterator found) {
    constexpr std::size_t kMaxIdleHandles = 256;
    Transfer& transfer = *found->second;
    curl_multi_remove_handle(multi_, transfer.handle);
    if (m_idleHandles.size() < kMaxIdleHandles) {
      curl_easy_reset(transfer.handle);
      m_idleHandles.push_back(std::exchange(transfer.handle, nullptr));
    }
    transfers_.erase(found);
  }

  static void configure(Transfer& transfer, const ClientRequest& request) {
    CURL* handle = transfer.handle;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, kEnabled);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, kEnabled);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Implementation::onData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Implementation::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.connectTimeout.count() / 1000));
    if (request.timeout.count() > 0) {
      curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                       static_cast<long>(request.timeout.count() / 1000));
    }
    if (request.newConnection) {
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, kEnabled);
      curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, kEnabled);
    }
    transfer.headerList = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : request.headers) {
      std::string line = name;
      line.append(": ").append(value);
      transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
    if (request.method != "GET") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.body.data());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(transfer.body.size()));
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
  }

  static std::size_t onData(char* data, std::size_t size, std::size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view chunk(data, size * count);
    long status = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    const bool successful = status >= kMinSuccessStatus && status < kMinRedirectStatus;
    if (transfer.cancelled) {
      return 0;
    }
    if (successful && transfer.onData) {
      transfer.onData(chunk);
    } else if (transfer.result.body.size() + chunk.size() > transfer.maxBodyBytes) {
      return 0;
    } else {
      transfer.result.body.append(chunk);
    }
    return chunk.size();
  }

  static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view line(data, size * count);
    transfer.headerBytes += line.size();
    if (transfer.headerBytes > kMaxHeaderBytes || !addHeaderLine(transfer, line)) {
      return 0;
    }
    return line.size();
  }

  /// Handles a line of a head or of trailers. Returns false if it is malformed.
  static bool addHeaderLine(Transfer& transfer, std::string_view line) {
    constexpr std::string_view kProtocol = "HTTP/";
    if (line.starts_with(kProtocol)) {
      transfer.headComplete = false;
      transfer.result.headers.clear();
      return isValidStatusLine(line);
    }
    line = line.substr(0, line.find_last_not_of("\r\n") + 1);
    if (line.empty()) {
      transfer.headComplete = true;
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      return false;
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t begin = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    const std::size_t end = line.find_last_not_of(" \t") + 1;
    const std::string value(line.substr(begin, std::max(begin, end) - begin));
    if (!isValidHeaderField(name, value)) {
      return false;
    }
    transfer.result.headers[name] = value;
    return true;
  }

  static int onSocket(CURL* /*handle*/, curl_socket_t socket, int pollAction, void* user,
                      void* /*data*/) {
    auto& self = *static_cast<Implementation*>(user);
    if (pollAction == CURL_POLL_REMOVE) {
      const auto found = self.watches_.find(socket);
      if (found != self.watches_.end()) {
        found->second->removed = true;
        found->second->descriptor.release();
        self.watches_.erase(found);
      }
      return 0;
    }
    std::shared_ptr<SocketWatch>& socketWatch = self.watches_[socket];
    if (!socketWatch) {
      socketWatch = std::make_shared<SocketWatch>(self.context_);
      socketWatch->descriptor.assign(socket);
    }
    socketWatch->polledEvents = pollAction;
    self.wait(socket, socketWatch);
    return 0;
  }

  void wait(curl_socket_t socket, const std::shared_ptr<SocketWatch>& socketWatch) {
    if ((socketWatch->polledEvents & CURL_POLL_IN) != 0 && !socketWatch->reading) {
      socketWatch->reading = true;
      socketWatch->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [weak = weak_from_this(), socket, socketWatch](const asio::error_code& error) {
            socketWatch->reading = false;
            if (const auto self = weak.lock()) {
              self->onReady(socket, socketWatch, CURL_CSELECT_IN, error);
            }
          });
    }
    if ((socketWatch->polledEvents & CURL_POLL_OUT) != 0 && !socketWatch->writing) {
      socketWatch->writing = true;
      socketWatch->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [weak = weak_from_this(), socket, socketWatch](const asio::error_code& error) {
            socketWatch->writing = false;
            if (const auto self = weak.lock()) {
              self->onReady(socket, socketWatch, CURL_CSELECT_OUT, error);
            }
          });
    }
  }

  void onReady(curl_socket_t socket, const std::shared_ptr<SocketWatch>& socketWatch, int events,
               const asio::error_code& error) {
    if (socketWatch->removed || error == asio::error::operation_aborted) {
      return;
    }
    runCurl(socket, error ? events | CURL_CSELECT_ERR : events);
    if (!socketWatch->removed) {
      wait(socket, socketWatch);
    }
  }

  static int onTimer(CURLM* /*multi*/, long timeoutMillis, void* user) {
    auto& self = *static_cast<Implementation*>(user);
    self.timer_.cancel();
    if (timeoutMillis < 0) {
      return 0;
    }
    self.timer_.expires_after(std::chrono::milliseconds(timeoutMillis));
    self.timer_.async_wait([weak = self.weak_from_this()](const asio::error_code& error) {
      const auto locked = weak.lock();
      if (!error && locked) {
        locked->runCurl(CURL_SOCKET_TIMEOUT, 0);
      }
    });
    return 0;
  }

  void runCurl(curl_socket_t socket, int events) {
    const auto keepAlive = shared_from_this();
    int running = 0;
    in_curl_ = true;
    curl_multi_socket_action(multi_, socket, events, &running);
    in_curl_ = false;
    collectFinished();
  }

  void collectFinished() {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* handle = message->easy_handle;
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
      finish(*transfer, code);
    }
  }

  void finish(Transfer& transfer, CURLcode code) {
    ClientResult result = std::move(transfer.result);
    long status = 0;
    long requestBytes = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer.handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    result.status = static_cast<int>(status);
    result.complete = code == CURLE_OK && transfer.headComplete;
    if (!result.complete) {
      result.error =
          code == CURLE_OK ? "the head of the response is incomplete" : curl_easy_strerror(code);
    }
    const bool nothingSent = requestBytes == 0 || code == CURLE_COULDNT_CONNECT;
    result.verdict = nothingSent ? base::Verdict::kNotRun : base::Verdict::kMayHaveRun;
    const DoneCallback onDone = transfer.cancelled ? nullptr : std::move(transfer.onDone);
    release(transfers_.find(transfer.id));
    if (onDone) {
      onDone(result);
    }
  }

  asio::io_context& context_;
  base::Timer timer_;
  CURLM* multi_ = nullptr;
  std::uint64_t last_id_ = 0;
  bool in_curl_ = false;
  Transfers transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> watches_;
  std::vector<CURL*> m_idleHandles;
};

Client::Client(asio::io_context& context)
    : implementation_(std::make_shared<Implementation>(context)) {}

Client::~Client() = default;

TransferId Client::start(const ClientRequest& request, DataCallback onData, DoneCallback onDone) {
  return implementation_->start(request, std::move(onData), std::move(onDone));
}

void Client::cancel(TransferId transfer) { implementation_->cancel(transfer); }

std::size_t Client::active() const { return implementation_->active(); }

}  // namespace tackpick::http
