// The server's connections on Beast.
#include "standin/http_server.h"

#include <sys/socket.h>

#include <optional>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace pistachioweir::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::uint64_t kMaxBody = 4U << 20U;

// One connection and, on it, one exchange after another.
class connection final : public http_exchange,
                         public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket, std::shared_ptr<const http_handler> handler)
      : socket_(std::move(socket)), handler_(std::move(handler)) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error) {
            self->Handle();
          }
        });
  }

  [[nodiscard]] const http_request& request() const override {
    return request_;
  }

  void Respond(const http_response& response) override {
    if (!waiting_) {
      return;
    }
    waiting_ = false;
    on_abandoned_ = nullptr;
    error_code ignored;
    socket_.cancel(ignored);
    reply_.emplace(static_cast<http::status>(response.status), 11);
    for (const http_header& header : response.headers) {
      reply_->set(header.name, header.value);
    }
    reply_->body() = response.body;
    reply_->keep_alive(parser_->get().keep_alive());
    reply_->prepare_payload();
    http::async_write(
        socket_, *reply_,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error && self->reply_->keep_alive()) {
            self->Read();
          }
        });
  }

  void Close() override {
    waiting_ = false;
    on_abandoned_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  void OnAbandoned(std::function<void()> handler) override {
    on_abandoned_ = std::move(handler);
  }

 private:
  void Handle() {
    const auto& message = parser_->get();
    request_ = {.method = std::string(message.method_string()),
                .target = std::string(message.target()),
                .body = message.body()};
    for (const auto& field : message) {
      request_.headers.push_back({.name = std::string(field.name_string()),
                                  .value = std::string(field.value())});
    }
    waiting_ = true;
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](error_code error) { self->Peek(error); });
    (*handler_)(shared_from_this());
  }

  // Readable while an answer is owed: the client left, or sends ahead.
  void Peek(error_code error) {
    if (error || !waiting_) {
      return;
    }
    char byte = 0;
    if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
        0) {
      return;
    }
    const auto handler = std::exchange(on_abandoned_, nullptr);
    Close();
    if (handler) {
      handler();
    }
  }

  tcp::socket socket_;
  std::shared_ptr<const http_handler> handler_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> reply_;
  http_request request_;
  std::function<void()> on_abandoned_;
  bool waiting_ = false;
};

// Accepts until its context ends.
class listener : public std::enable_shared_from_this<listener> {
 public:
  listener(asio::io_context& io, const endpoint& address, http_handler handler)
      : acceptor_(
            io,
            tcp::endpoint(asio::ip::make_address(address.ip), address.port)),
        handler_(std::make_shared<const http_handler>(std::move(handler))) {}

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code error,
                                                       tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (!error) {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<connection>(std::move(socket), self->handler_)->Read();
      }
      self->Accept();
    });
  }

 private:
  tcp::acceptor acceptor_;
  std::shared_ptr<const http_handler> handler_;
};

}  // namespace

http_server::http_server(asio::io_context& io,
                         const endpoint& address,
                         http_handler handler)
    : address_(address) {
  const auto accepting =
      std::make_shared<listener>(io, address, std::move(handler));
  address_.port = accepting->port();
  accepting->Accept();
}

}  // namespace pistachioweir::standin
