// scripted_peer: the far end of a peer_link that sends the frames that a test
// chooses.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/config/settings.h"
#include "src/net/tcp_listener.h"
#include "src/peer/frame_stream.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// Serves one connection at a time; a new one replaces the last.
class scripted_peer {
 public:
  // Returns what to send when `frame` arrives.
  using script = std::function<std::string(const frame_view& frame)>;

  scripted_peer(boost::asio::io_context& context,
                const endpoint& address,
                script reply)
      : acceptor_(Listen(context, address)), reply_(std::move(reply)) {
    Accept();
  }

  ~scripted_peer() {
    if (stream_ != nullptr) {
      stream_->Close();
    }
  }
  scripted_peer(const scripted_peer&) = delete;
  scripted_peer& operator=(const scripted_peer&) = delete;

  [[nodiscard]] endpoint address() const { return LocalEndpoint(acceptor_); }
  [[nodiscard]] int connections() const { return connections_; }
  void Send(std::string bytes) { stream_->Send(std::move(bytes)); }

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      if (stream_ != nullptr) {
        stream_->Close();
      }
      ++connections_;
      stream_ = std::make_shared<frame_stream>(std::move(socket));
      const std::weak_ptr<frame_stream> opened = stream_;
      stream_->Start(
          [this, opened](const frame_view& frame) {
            const auto stream = opened.lock();
            std::string reply = reply_(frame);
            if (stream != nullptr && !reply.empty()) {
              stream->Send(std::move(reply));
            }
          },
          [](std::string_view) {});
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  const script reply_;
  std::shared_ptr<frame_stream> stream_;
  int connections_ = 0;
};

}  // namespace pistachioweir
