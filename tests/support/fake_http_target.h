// fake_http_target: a target on loopback whose responses the test sends byte by
// byte.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "include/config/settings.h"
#include "src/net/http_reader.h"

namespace pistachioweir {

// Reads requests and passes each to the test together with its connection.
// Used on its context's thread.
class fake_http_target {
 public:
  using tcp = boost::asio::ip::tcp;

  // One connection of the daemon.
  class connection : public std::enable_shared_from_this<connection> {
   public:
    connection(fake_http_target& owner, tcp::socket socket)
        : owner_(owner), socket_(std::move(socket)) {}

    void Send(const std::string& bytes) {
      boost::system::error_code ignored;
      boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    // Closes in order.
    void Close() {
      boost::system::error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_both, ignored);
      socket_.close(ignored);
    }
    // Resets the connection, as a process that crashes.
    void Reset() {
      boost::system::error_code ignored;
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
    }

    void Read() {
      socket_.async_read_some(
          boost::asio::buffer(chunk_),
          [self = shared_from_this()](boost::system::error_code error,
                                      std::size_t bytes) {
            if (error) {
              ++self->owner_.ended;
              return;
            }
            self->buffer_.append(self->chunk_.data(), bytes);
            self->ProcessReceived();
            self->Read();
          });
    }

   private:
    void ProcessReceived() {
      while (!buffer_.empty()) {
        if (!reader_) {
          reader_.emplace(read_limits{.max_body_bytes = 64 << 20});
        }
        std::size_t taken = 0;
        const read_state state = reader_->Feed(buffer_, &taken);
        buffer_.erase(0, taken);
        if (reader_->has_head() && !head_reported_) {
          head_reported_ = true;
          if (owner_.on_head) {
            owner_.on_head(*this);
          }
        }
        if (state != read_state::kDone) {
          return;
        }
        read_request request = reader_->Take();
        reader_.reset();
        head_reported_ = false;
        owner_.requests.push_back(request);
        if (owner_.on_request) {
          owner_.on_request(request, shared_from_this());
        }
      }
    }

    fake_http_target& owner_;
    tcp::socket socket_;
    std::array<char, 65536> chunk_{};
    std::string buffer_;
    std::optional<request_reader> reader_;
    bool head_reported_ = false;
  };

  using connection_ptr = std::shared_ptr<connection>;

  explicit fake_http_target(boost::asio::io_context& context)
      : acceptor_(
            context,
            tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
  }

  [[nodiscard]] endpoint address() const {
    return {.ip = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

  // Stops listening and resets all connections.
  void Crash() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : all_) {
      if (const auto open = weak.lock()) {
        open->Reset();
      }
    }
  }

  // A complete response in the platform's format.
  static std::string Answer(const read_request& request,
                            const std::string& body,
                            int status = 200,
                            const std::string& more = "") {
    const auto id = FindHeader(request.headers, "Request-Id").value_or("");
    return ResponseHead(status,
                        "Request-Id: " + std::string(id) + "\r\n" +
                            "Response-Signature: s." + std::string(id) +
                            "\r\n" + more,
                        body.size(), true) +
           body;
  }

  std::function<void(const read_request&, const connection_ptr&)> on_request;
  std::function<void(connection&)> on_head;
  std::vector<read_request> requests;
  int connections = 0;
  int ended = 0;  // Connections that the daemon closed.

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          ++connections;
          auto opened = std::make_shared<connection>(*this, std::move(socket));
          all_.push_back(opened);
          opened->Read();
          Accept();
        });
  }

  tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<connection>> all_;
};

}  // namespace pistachioweir
