// The client's connections on Beast.
#include "standin/http_client.h"

#include <sys/socket.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace pistachioweir::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::uint64_t kMaxBody = 16U << 20U;

// An idle connection is dead if it is readable: closed, or out of step.
bool IsUsable(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
             0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

class http_client::pool {
 public:
  explicit pool(asio::io_context& io) : io_(io) {}

  [[nodiscard]] asio::io_context& io() { return io_; }

  // An idle connection to `address`, or one that isn't open.
  tcp::socket Take(const endpoint& address) {
    std::vector<tcp::socket>& idle = idle_[Authority(address)];
    while (!idle.empty()) {
      tcp::socket socket = std::move(idle.back());
      idle.pop_back();
      if (IsUsable(socket)) {
        return socket;
      }
    }
    return tcp::socket(io_);
  }

  void Give(const endpoint& address, tcp::socket socket) {
    idle_[Authority(address)].push_back(std::move(socket));
  }

 private:
  asio::io_context& io_;
  // By IP:PORT.
  std::map<std::string, std::vector<tcp::socket>> idle_;
};

namespace {

template <typename Pool>
class pending_call final
    : public http_call,
      public std::enable_shared_from_this<pending_call<Pool>> {
 public:
  pending_call(std::shared_ptr<Pool> pool, endpoint address, http_done done)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        socket_(pool_->Take(address_)),
        timer_(pool_->io()),
        done_(std::move(done)) {}

  void Start(const http_request& request, milliseconds timeout) {
    message_.method_string(request.method);
    message_.target(request.target);
    message_.version(11);
    message_.set(http::field::host, Authority(address_));
    for (const http_header& header : request.headers) {
      message_.set(header.name, header.value);
    }
    message_.body() = request.body;
    message_.prepare_payload();
    timer_.expires_after(timeout);
    timer_.async_wait([self = this->shared_from_this()](error_code error) {
      if (!error) {
        self->Finish(http_failure::kTimeout);
      }
    });
    if (socket_.is_open()) {
      Write();
      return;
    }
    error_code bad_ip;
    const auto ip = asio::ip::make_address(address_.ip, bad_ip);
    socket_.async_connect(tcp::endpoint(ip, address_.port),
                          [self = this->shared_from_this()](error_code error) {
                            if (error) {
                              self->Finish(http_failure::kConnect);
                              return;
                            }
                            error_code ignored;
                            self->socket_.set_option(tcp::no_delay(true),
                                                     ignored);
                            self->Write();
                          });
  }

  void Cancel() override {
    done_ = nullptr;
    Close();
  }

 private:
  void Write() {
    http::async_write(
        socket_, message_,
        [self = this->shared_from_this()](error_code error, std::size_t) {
          if (error) {
            self->Finish(http_failure::kLost);
            return;
          }
          self->Read();
        });
  }

  void Read() {
    parser_.body_limit(kMaxBody);
    http::async_read(
        socket_, buffer_, parser_,
        [self = this->shared_from_this()](error_code error, std::size_t) {
          self->Finish(error ? http_failure::kLost : http_failure::kNone);
        });
  }

  void Finish(http_failure failure) {
    if (!done_) {
      return;
    }
    const http_done done = std::exchange(done_, nullptr);
    http_result result{.failure = failure};
    if (failure == http_failure::kNone) {
      const auto& message = parser_.get();
      result.response.status = static_cast<int>(message.result_int());
      result.response.body = message.body();
      for (const auto& field : message) {
        result.response.headers.push_back(
            {.name = std::string(field.name_string()),
             .value = std::string(field.value())});
      }
      timer_.cancel();
      if (message.keep_alive()) {
        pool_->Give(address_, std::move(socket_));
      }
    } else {
      Close();
    }
    done(result);
  }

  void Close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  std::shared_ptr<Pool> pool_;
  endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  http_done done_;
  http::request<http::string_body> message_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_;
};

}  // namespace

http_client::http_client(asio::io_context& io)
    : pool_(std::make_shared<pool>(io)) {}

http_client::~http_client() = default;

std::shared_ptr<http_call> http_client::Send(const endpoint& address,
                                             const http_request& request,
                                             milliseconds timeout,
                                             http_done done) {
  auto call =
      std::make_shared<pending_call<pool>>(pool_, address, std::move(done));
  call->Start(request, timeout);
  return call;
}

http_result SendAndWait(const endpoint& address,
                        const http_request& request,
                        milliseconds timeout) {
  asio::io_context io;
  http_client client(io);
  http_result result;
  client.Send(address, request, timeout,
              [&result](const http_result& got) { result = got; });
  io.run();
  return result;
}

}  // namespace pistachioweir::standin
