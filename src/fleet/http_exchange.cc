// The exchange by Boost.Beast.
#include "src/fleet/http_exchange.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

#include "src/daemon/peer_paths.h"
#include "src/net/http_message.h"

namespace pistachioweir {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// Lives as long as a handler of its stream is pending.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  http_exchange(boost::asio::io_context& io,
                const exchange_request& request,
                std::function<void(exchange_answer)> done)
      : stream_(boost::asio::make_strand(io)),
        timeout_(request.timeout),
        done_(std::move(done)) {
    request_.method(request.post ? http::verb::post : http::verb::get);
    request_.target(request.path);
    request_.version(11);
    request_.set(http::field::host, ToString(request.server));
    request_.set(http::field::connection, "close");
    if (!request.token.empty()) {
      request_.set({kPeerTokenHeader.data(), kPeerTokenHeader.size()},
                   request.token);
    }
    if (request.post) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.body() = request.body;
    request_.prepare_payload();
    parser_.body_limit(request.max_body);
  }

  void Start(const endpoint& server) {
    beast::error_code error;
    const auto address = boost::asio::ip::make_address(server.ip, error);
    if (error) {
      boost::asio::post(stream_.get_executor(),
                        [self = shared_from_this()] { self->Finish({}); });
      return;
    }
    stream_.expires_after(timeout_);
    stream_.async_connect(
        tcp::endpoint(address, server.port),
        [self = shared_from_this()](beast::error_code failed) {
          self->OnConnect(failed);
        });
  }

 private:
  void OnConnect(beast::error_code error) {
    if (error) {
      Finish({});
      return;
    }
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](beast::error_code failed, std::size_t) {
          self->OnWrite(failed);
        });
  }

  void OnWrite(beast::error_code error) {
    if (error) {
      Finish({});
      return;
    }
    // The head by itself: read together with the body, an announced length
    // above the limit goes unnoticed.
    http::async_read_header(
        stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code failed, std::size_t) {
          self->OnHead(failed);
        });
  }

  void OnHead(beast::error_code error) {
    if (error) {
      Finish({});
      return;
    }
    http::async_read(
        stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code failed, std::size_t) {
          self->OnRead(failed);
        });
  }

  void OnRead(beast::error_code error) {
    if (error) {
      Finish({});
      return;
    }
    const auto& message = parser_.get();
    const auto revision = message["Revision"];
    Finish({.status = static_cast<int>(message.result_int()),
            .revision = {revision.data(), revision.size()},
            .body = message.body()});
  }

  void Finish(exchange_answer answer) {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    done_(std::move(answer));
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  const milliseconds timeout_;
  std::function<void(exchange_answer)> done_;
};

}  // namespace

void Exchange(boost::asio::io_context& io,
              const exchange_request& request,
              std::function<void(exchange_answer)> done) {
  std::make_shared<http_exchange>(io, request, std::move(done))
      ->Start(request.server);
}

}  // namespace pistachioweir
