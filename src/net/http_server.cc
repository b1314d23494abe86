// HTTP server sessions on Beast.
#include "src/net/http_server.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <optional>
#include <string>

#include "src/net/http_framing.h"
#include "src/net/tcp_listener.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Headers that reach the handler; others are dropped with the message.
constexpr std::string_view kOwnPrefix = "Pw-";

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsOwnHeader(beast::string_view name) {
  return beast::iequals(
             name.substr(0, kOwnPrefix.size()),
             beast::string_view(kOwnPrefix.data(), kOwnPrefix.size())) ||
         beast::iequals(name, "Idempotency-Key");
}

http_request ToRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.verb = ToString(message.method_string());
  const std::string target = ToString(message.target());
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = target.substr(mark + 1);
  }
  request.content_type = ToString(message[http::field::content_type]);
  for (const auto& field : message) {
    if (IsOwnHeader(field.name_string())) {
      request.headers.push_back({.name = ToString(field.name_string()),
                                 .value = ToString(field.value())});
    }
  }
  request.body = std::move(message.body());
  return request;
}

int StatusOf(const error_code& error) {
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return 413;
  }
  return 400;
}

}  // namespace

struct http_server::state {
  state(worker_pool& pool, http_server_options opts)
      : workers(pool), options(std::move(opts)) {}

  worker_pool& workers;
  http_server_options options;
  std::atomic<bool> stopping{false};
  std::atomic<bool> draining{false};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> exchanges{0};
};

// Apart from the state that sessions share: a session may be the last to go, on
// another worker than the socket's, whose io_context may be gone by then.
struct http_server::listener {
  listener(worker_pool& workers, const endpoint& address)
      : acceptor(Listen(workers.context(0), address)) {}

  tcp::acceptor acceptor;
};

// One connection. All of it runs on one worker.
class http_server::session : public http_exchange,
                             public std::enable_shared_from_this<session> {
 public:
  session(std::shared_ptr<state> shared, tcp::socket socket, std::size_t worker)
      : shared_(std::move(shared)),
        stream_(std::move(socket)),
        worker_(worker) {
    ++shared_->connections;
  }

  ~session() override {
    --shared_->connections;
    // A request whose caller went away is dropped without an answer.
    EndExchange();
  }

  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void Start() {
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    const auto remote = stream_.socket().remote_endpoint(ignored);
    peer_ip_ = remote.address().to_string();
    Read();
  }

  [[nodiscard]] const http_request& request() const override {
    return request_;
  }
  [[nodiscard]] std::size_t worker() const override { return worker_; }
  [[nodiscard]] const std::string& peer_ip() const override { return peer_ip_; }

  void Respond(http_response response) override {
    auto& context = shared_->workers.context(worker_);
    asio::dispatch(context, [self = shared_from_this(),
                             response = std::move(response)]() mutable {
      self->Write(std::move(response));
    });
  }

  void OnDisconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
    WatchForClose();
  }

 private:
  void Read() {
    parser_.emplace();
    parser_->body_limit(shared_->options.max_body_bytes);
    stream_.expires_after(shared_->options.idle_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
          self->OnRead(error);
        });
  }

  void OnRead(error_code error) {
    if (error == http::error::end_of_stream || error == beast::error::timeout ||
        error == asio::error::connection_reset ||
        error == asio::error::operation_aborted ||
        error == http::error::partial_message) {
      Close();
      return;
    }
    if (error) {
      Refuse(StatusOf(error));
      return;
    }
    if (!HasKnownFraming(parser_->get())) {
      Refuse(StatusOf(error));
      return;
    }
    keep_alive_ = parser_->keep_alive();
    request_ = ToRequest(parser_->release());
    // The time of the answer is the handler's business.
    stream_.expires_never();
    BeginExchange();
    shared_->options.handler(shared_from_this());
  }

  void Refuse(int status) {
    http_response response = shared_->options.refusal
                                 ? shared_->options.refusal(status)
                                 : http_response{.status = status};
    response.close = true;
    BeginExchange();
    Write(std::move(response));
  }

  void BeginExchange() {
    answered_ = false;
    open_ = true;
    ++shared_->exchanges;
    ++shared_->requests;
  }

  void EndExchange() {
    if (std::exchange(open_, false)) {
      --shared_->exchanges;
    }
  }

  // A caller that gives up closes its connection. Without this watch its
  // request would go on through the chain, and that work would be lost.
  void WatchForClose() {
    if (watching_ || answered_) {
      return;
    }
    watching_ = true;
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this()](error_code error) {
                                  self->watching_ = false;
                                  self->OnReadable(error);
                                });
  }

  void OnReadable(error_code error) {
    if (error || answered_ || !on_disconnect_) {
      return;
    }
    char byte = 0;
    error_code peek_error;
    stream_.socket().non_blocking(true, peek_error);
    const std::size_t got = stream_.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
    if (got > 0 || peek_error == asio::error::would_block) {
      // A pipelined request; it waits its turn, and this watch can't see
      // behind it.
      return;
    }
    auto callback = std::exchange(on_disconnect_, nullptr);
    callback();
  }

  void Write(http_response response) {
    if (answered_) {
      return;
    }
    answered_ = true;
    on_disconnect_ = nullptr;
    message_.emplace(static_cast<http::status>(response.status), 11);
    if (!response.content_type.empty()) {
      message_->set(http::field::content_type, response.content_type);
    }
    for (const http_header& header : response.headers) {
      message_->set(header.name, header.value);
    }
    message_->body() = std::move(response.body);
    message_->keep_alive(keep_alive_ && !response.close &&
                         !shared_->stopping.load() &&
                         !shared_->draining.load());
    message_->prepare_payload();
    stream_.expires_after(shared_->options.idle_timeout);
    http::async_write(
        stream_, *message_,
        [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
          self->OnWritten(error);
        });
  }

  void OnWritten(error_code error) {
    EndExchange();
    const bool again = !error && message_->keep_alive();
    message_.reset();
    if (again) {
      Read();
    } else if (error) {
      Close();
    } else {
      Linger();
    }
  }

  // Reads what the other side still sends until it closes: closing a socket
  // with unread bytes resets it, and the reset overtakes the answer.
  void Linger() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    stream_.expires_after(kLingerTimeout);
    ReadAway();
  }

  void ReadAway() {
    stream_.async_read_some(
        buffer_.prepare(kReadAwayBytes),
        [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
          if (error) {
            self->Close();
          } else {
            self->ReadAway();
          }
        });
  }

  void Close() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  static constexpr milliseconds kLingerTimeout{1000};
  static constexpr std::size_t kReadAwayBytes = 8192;

  std::shared_ptr<state> shared_;
  beast::tcp_stream stream_;
  const std::size_t worker_;
  std::string peer_ip_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> message_;
  http_request request_;
  std::function<void()> on_disconnect_;
  bool keep_alive_ = false;
  bool answered_ = true;
  bool open_ = false;  // Counted in `exchanges`.
  bool watching_ = false;
};

http_server::http_server(worker_pool& workers, http_server_options options)
    : state_(std::make_shared<state>(workers, std::move(options))),
      listener_(std::make_shared<listener>(workers, state_->options.address)) {
  Accept(state_, listener_);
}

http_server::~http_server() {
  StopAccepting();
}

void http_server::Accept(const std::shared_ptr<state>& state,
                         const std::shared_ptr<listener>& listener) {
  const std::size_t worker = state->workers.NextWorker();
  listener->acceptor.async_accept(
      state->workers.context(worker),
      [state, listener, worker](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || state->stopping) {
          return;
        }
        const bool full =
            state->connections.load() >= state->options.max_connections;
        if (!error && !full) {
          auto opened =
              std::make_shared<session>(state, std::move(socket), worker);
          asio::post(state->workers.context(worker),
                     [opened] { opened->Start(); });
        }
        Accept(state, listener);
      });
}

void http_server::StopAccepting() {
  if (state_->stopping.exchange(true)) {
    return;
  }
  asio::post(state_->workers.context(0), [listener = listener_] {
    error_code ignored;
    listener->acceptor.close(ignored);
  });
}

void http_server::DrainConnections() {
  state_->draining = true;
}

std::uint64_t http_server::requests() const {
  return state_->requests.load();
}

endpoint http_server::address() const {
  return LocalEndpoint(listener_->acceptor);
}

std::size_t http_server::connections() const {
  return state_->connections.load();
}

std::size_t http_server::open_exchanges() const {
  return state_->exchanges.load();
}

}  // namespace pistachioweir
