// Pooled HTTP client on Beast.
#include "src/net/http_client.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <string>

#include "src/net/http_framing.h"

namespace pistachioweir {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

http::verb VerbOf(const std::string& name) {
  return http::string_to_verb(name);
}

http_response ToResponse(http::response<http::string_body>&& message) {
  http_response response;
  response.status = static_cast<int>(message.result_int());
  const auto type = message[http::field::content_type];
  response.content_type.assign(type.data(), type.size());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    response.headers.push_back({.name = {name.data(), name.size()},
                                .value = {value.data(), value.size()}});
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace

struct http_client::idle_connection {
  std::unique_ptr<beast::tcp_stream> stream;
  time_point since;
};

struct http_client::pool {
  pool(asio::io_context& ctx, http_client_options opts)
      : context(ctx), options(opts) {}

  // The most recently used connection that is still open, or nullptr.
  std::unique_ptr<beast::tcp_stream> Take(const endpoint& address) {
    const auto found = idle.find(address);
    if (found == idle.end()) {
      return nullptr;
    }
    const time_point oldest = monotonic_clock::now() - options.max_idle_time;
    auto& connections = found->second;
    while (!connections.empty()) {
      idle_connection last = std::move(connections.back());
      connections.pop_back();
      if (last.since < oldest) {
        // Older ones lie below.
        connections.clear();
        break;
      }
      if (IsOpen(*last.stream)) {
        return std::move(last.stream);
      }
    }
    return nullptr;
  }

  void Keep(const endpoint& address,
            std::unique_ptr<beast::tcp_stream> stream) {
    const time_point now = monotonic_clock::now();
    auto& connections = idle[address];
    const time_point oldest = now - options.max_idle_time;
    std::erase_if(connections, [oldest](const idle_connection& connection) {
      return connection.since < oldest;
    });
    if (connections.size() < options.max_idle) {
      connections.push_back({.stream = std::move(stream), .since = now});
    }
  }

  // A server that closed an idle connection shows as readable; a request sent
  // on it would be lost and its outcome unknown.
  static bool IsOpen(beast::tcp_stream& stream) {
    error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            error);
    return error == asio::error::would_block;
  }

  asio::io_context& context;
  const http_client_options options;
  std::map<endpoint, std::vector<idle_connection>> idle;
};

class http_client::exchange : public std::enable_shared_from_this<exchange> {
 public:
  exchange(std::shared_ptr<pool> shared, const endpoint& address, callback done)
      : pool_(std::move(shared)),
        address_(address),
        done_(std::move(done)),
        timer_(pool_->context) {}

  void Start(http_request request, time_point deadline, bool fresh) {
    Prepare(std::move(request));
    timer_.expires_at(deadline);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->Finish(exchange_end::kTimedOut);
      }
    });
    stream_ = fresh ? nullptr : pool_->Take(address_);
    if (stream_ == nullptr) {
      Connect();
    } else {
      Write();
    }
  }

  void Cancel() { Finish(exchange_end::kCancelled); }

 private:
  void Prepare(http_request request) {
    std::string target = std::move(request.path);
    if (!request.query.empty()) {
      target += '?' + request.query;
    }
    message_.method(VerbOf(request.verb));
    message_.target(target);
    message_.version(11);
    message_.set(http::field::host, address_.ip);
    if (!request.content_type.empty()) {
      message_.set(http::field::content_type, request.content_type);
    }
    for (const http_header& header : request.headers) {
      message_.set(header.name, header.value);
    }
    message_.body() = std::move(request.body);
    message_.prepare_payload();
  }

  void Connect() {
    error_code error;
    const auto ip = asio::ip::make_address(address_.ip, error);
    if (error) {
      asio::post(pool_->context, [self = shared_from_this()] {
        self->Finish(exchange_end::kNotSent);
      });
      return;
    }
    stream_ = std::make_unique<beast::tcp_stream>(pool_->context);
    stream_->expires_after(pool_->options.connect_timeout);
    stream_->async_connect(tcp::endpoint(ip, address_.port),
                           [self = shared_from_this()](error_code failed) {
                             self->OnConnect(failed);
                           });
  }

  void OnConnect(error_code error) {
    if (done_ == nullptr) {
      return;
    }
    if (error) {
      Finish(exchange_end::kNotSent);
      return;
    }
    error_code ignored;
    stream_->socket().set_option(tcp::no_delay(true), ignored);
    stream_->expires_never();
    Write();
  }

  void Write() {
    sent_ = true;
    http::async_write(
        *stream_, message_,
        [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
          self->OnWritten(error);
        });
  }

  void OnWritten(error_code error) {
    if (done_ == nullptr) {
      return;
    }
    if (error) {
      Finish(exchange_end::kLost);
      return;
    }
    parser_.body_limit(pool_->options.max_body_bytes);
    // The head by itself: read together with the body, an announced length
    // above the limit goes unnoticed.
    http::async_read_header(*stream_, buffer_, parser_,
                            [self = shared_from_this()](error_code read_error,
                                                        std::size_t /*bytes*/) {
                              self->OnHead(read_error);
                            });
  }

  void OnHead(error_code error) {
    if (done_ == nullptr || error) {
      OnRead(error);
      return;
    }
    if (!IsAnswerStatus(parser_.get().result_int()) ||
        !HasKnownFraming(parser_.get())) {
      Finish(exchange_end::kLost);
      return;
    }
    http::async_read(*stream_, buffer_, parser_,
                     [self = shared_from_this()](error_code read_error,
                                                 std::size_t /*bytes*/) {
                       self->OnRead(read_error);
                     });
  }

  void OnRead(error_code error) {
    if (done_ == nullptr) {
      return;
    }
    Finish(error ? exchange_end::kLost : exchange_end::kAnswered);
  }

  void Finish(exchange_end end) {
    if (done_ == nullptr) {
      return;
    }
    callback done = std::exchange(done_, nullptr);
    timer_.cancel();
    exchange_result result{.end = end};
    if (end == exchange_end::kAnswered) {
      KeepConnection();
      result.response = ToResponse(parser_.release());
    } else {
      // Before the first byte a time-out is as good as a refused connection.
      if (!sent_ && end != exchange_end::kCancelled) {
        result.end = exchange_end::kNotSent;
      }
      CloseConnection();
    }
    done(std::move(result));
  }

  void KeepConnection() {
    if (parser_.keep_alive() && buffer_.size() == 0) {
      pool_->Keep(address_, std::move(stream_));
    }
  }

  // Guard CLOSE_UNFINISHED in spec/answer_matching.pml. A connection whose
  // exchange has not ended still has that exchange's answer to come; the next
  // call on it would take it for its own.
  void CloseConnection() {
    if (stream_ != nullptr) {
      stream_->close();
    }
  }

  std::shared_ptr<pool> pool_;
  const endpoint address_;
  callback done_;  // Empty exactly when the exchange has ended.
  asio::steady_timer timer_;
  std::unique_ptr<beast::tcp_stream> stream_;
  http::request<http::string_body> message_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  bool sent_ = false;
};

http_client::http_client(asio::io_context& context, http_client_options options)
    : pool_(std::make_shared<pool>(context, options)) {}

http_client::~http_client() = default;

std::shared_ptr<http_client::exchange> http_client::Send(
    const endpoint& address,
    http_request request,
    time_point deadline,
    bool fresh,
    callback done) {
  auto started = std::make_shared<exchange>(pool_, address, std::move(done));
  started->Start(std::move(request), deadline, fresh);
  return started;
}

void http_client::Cancel(const std::shared_ptr<exchange>& exchange) {
  if (exchange != nullptr) {
    exchange->Cancel();
  }
}

void http_client::DropIdle(const endpoint& address) {
  pool_->idle.erase(address);
}

}  // namespace pistachioweir
