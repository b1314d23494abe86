// Reading and writing of frames.
#include "src/peer/frame_stream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace pistachioweir {

namespace asio = boost::asio;
using boost::system::error_code;

frame_stream::frame_stream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), last_heard_(monotonic_clock::now()) {}

void frame_stream::Start(on_frame frame, on_end end) {
  on_frame_ = std::move(frame);
  on_end_ = std::move(end);
  error_code ignored;
  socket_.non_blocking(true, ignored);  // For ReadRest().
  Read();
}

void frame_stream::Read() {
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (!self->open_) {
          return;
        }
        if (error) {
          self->End(error.message());
          return;
        }
        self->last_heard_ = monotonic_clock::now();
        self->received_.append(self->chunk_.data(), bytes);
        self->ReadRest(bytes);
        // The end of the connection is then handled before calls that were read
        // together with it start.
        self->Read();
        self->Digest();
      });
}

void frame_stream::ReadRest(std::size_t last_read) {
  error_code error;
  std::size_t total = last_read;
  while (last_read == chunk_.size() && total < kMaxReadBytes) {
    last_read = socket_.read_some(asio::buffer(chunk_), error);
    received_.append(chunk_.data(), last_read);
    total += last_read;
  }
}

void frame_stream::Digest() {
  std::size_t used = 0;
  while (open_) {
    frame_view frame;
    const auto rest = std::string_view(received_).substr(used);
    const frame_state state = NextFrame(rest, kMaxFrameBytes, &frame);
    if (state == frame_state::kBroken) {
      End("broken frame");
      return;
    }
    if (state == frame_state::kMore) {
      break;
    }
    on_frame_(frame);
    used += frame.bytes;
  }
  if (open_) {
    received_.erase(0, used);
  }
}

void frame_stream::Send(std::string bytes) {
  Send(std::make_shared<const std::string>(std::move(bytes)));
}

void frame_stream::Send(std::shared_ptr<const std::string> bytes) {
  if (!open_ || overfull_) {
    return;
  }
  if (unsent_bytes_ > kMaxUnsentBytes) {
    overfull_ = true;
    // Later: the sender may be in the middle of a list of connections.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->open_) {
        self->End("peer does not read");
      }
    });
    return;
  }
  unsent_bytes_ += bytes->size();
  unsent_.push_back(std::move(bytes));
  if (sending_.empty()) {
    Write();
  }
}

bool frame_stream::SendNews(std::shared_ptr<const std::string> bytes) {
  if (unsent_news_ + sending_news_ + bytes->size() > kMostUnreadBytes) {
    return false;
  }
  unsent_news_ += bytes->size();
  Send(std::move(bytes));
  return true;
}

void frame_stream::Write() {
  sending_ = std::exchange(unsent_, {});
  sending_news_ = std::exchange(unsent_news_, 0);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(sending_.size());
  for (const auto& bytes : sending_) {
    buffers.push_back(asio::buffer(*bytes));
  }
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](error_code error, std::size_t written) {
        if (!self->open_) {
          return;
        }
        if (error) {
          self->End(error.message());
          return;
        }
        self->unsent_bytes_ -= written;
        self->sending_.clear();
        self->sending_news_ = 0;
        if (!self->unsent_.empty()) {
          self->Write();
        }
      });
}

void frame_stream::End(std::string_view why) {
  const on_end end = on_end_;
  Close();
  if (end) {
    end(why);
  }
}

void frame_stream::Close() {
  if (!std::exchange(open_, false)) {
    return;
  }
  error_code ignored;
  socket_.close(ignored);
  // The callbacks may be running: they are dropped when those return.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->on_frame_ = nullptr;
    self->on_end_ = nullptr;
  });
}

}  // namespace pistachioweir
