// Reading and writing of frames.
#include "src/peer/frame_stream.h"

#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace pistachioweir {

namespace asio = boost::asio;
using boost::system::error_code;

frame_stream::frame_stream(asio::ip::tcp::socket socket,
                           std::shared_ptr<memory_budget> memory)
    : socket_(std::move(socket)),
      memory_(std::move(memory)),
      last_taken_(monotonic_clock::now()),
      last_heard_(last_taken_) {}

void frame_stream::Start(on_frame frame, on_end end, on_dropped dropped) {
  on_frame_ = std::move(frame);
  on_end_ = std::move(end);
  on_dropped_ = std::move(dropped);
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
  std::size_t used = PassOver(received_.size());
  while (open_) {
    frame_view frame;
    const auto rest = std::string_view(received_).substr(used);
    const frame_state state = NextFrame(rest, kMaxFrameBytes, &frame);
    if (state == frame_state::kBroken) {
      End("broken frame");
      return;
    }
    if (state == frame_state::kMore) {
      if (ReserveFrame(rest)) {
        break;
      }
      used += PassOver(rest.size());
      continue;
    }
    incoming_.Release();  // Whoever takes the frame reserves what it keeps.
    on_frame_(frame);
    used += frame.bytes;
  }
  if (!open_) {
    return;
  }
  if (used == received_.size() && received_.capacity() > kMaxReadBytes) {
    received_ = std::string();  // A large frame's room isn't kept.
    return;
  }
  received_.erase(0, used);
  // Doubled step by step, it would take up to three times the frame.
  received_.reserve(std::min(FrameLength(received_), kMaxFrameBytes));
}

bool frame_stream::ReserveFrame(std::string_view rest) {
  // Enough to hold a frame's head, and a number in front of its payload.
  constexpr std::size_t kBegin = 32;
  const std::size_t length = FrameLength(rest);
  if (memory_ == nullptr || !on_dropped_ || length <= kMaxSmallReservation ||
      rest.size() < kBegin || incoming_.bytes() == length) {
    return true;
  }
  const auto number = LeadingNumber(rest);
  if (!number) {
    return true;  // Changes of the view, which no caller causes.
  }
  incoming_ = memory_->Open(memory_use::kFrames);
  if (incoming_.Resize(length)) {
    return true;
  }
  passed_over_ = length;
  on_dropped_(number->first, number->second);
  return false;
}

std::size_t frame_stream::PassOver(std::size_t rest) {
  const std::size_t passed = std::min(rest, passed_over_);
  passed_over_ -= passed;
  return passed;
}

void frame_stream::Send(std::string bytes) {
  Send(std::make_shared<const std::string>(std::move(bytes)));
}

void frame_stream::Send(std::shared_ptr<const std::string> bytes) {
  if (MayQueue()) {
    Queue({.bytes = std::move(bytes)});
    Write();
  }
}

void frame_stream::Send(frame_parts parts) {
  if (!MayQueue()) {
    return;
  }
  Queue({.bytes = std::make_shared<const std::string>(std::move(parts.head))});
  if (!parts.body.empty()) {
    Queue({.bytes = parts.body.shared()});
    Queue(
        {.bytes = std::make_shared<const std::string>(std::move(parts.tail))});
  }
  Write();
}

bool frame_stream::SendNews(std::shared_ptr<const std::string> bytes) {
  if (unsent_news_ + bytes->size() > kMostUnreadBytes) {
    return false;
  }
  if (MayQueue()) {
    unsent_news_ += bytes->size();
    Queue({.bytes = std::move(bytes), .is_news = true});
    Write();
  }
  return true;
}

bool frame_stream::MayQueue() {
  if (!open_ || overfull_) {
    return false;
  }
  if (unsent_bytes_ <= kMaxUnsentBytes ||
      monotonic_clock::now() - last_taken_ <= kPeerSilence) {
    return true;
  }
  overfull_ = true;
  // Later: the sender may be in the middle of a list of connections.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->open_) {
      self->End("peer does not read");
    }
  });
  return false;
}

void frame_stream::Queue(outgoing next) {
  if (next.bytes->empty()) {
    return;
  }
  if (unsent_.empty()) {
    last_taken_ = monotonic_clock::now();
  }
  unsent_bytes_ += next.bytes->size();
  unsent_.push_back(std::move(next));
}

void frame_stream::Write() {
  if (writing_ || unsent_.empty()) {
    return;
  }
  writing_ = true;
  constexpr std::size_t kMaxBuffers = 64;  // As many as one system call takes.
  std::vector<asio::const_buffer> buffers;
  std::size_t taken = front_taken_;
  for (const outgoing& each : unsent_) {
    buffers.push_back(asio::buffer(*each.bytes) + std::exchange(taken, 0));
    if (buffers.size() == kMaxBuffers) {
      break;
    }
  }
  socket_.async_write_some(buffers, [self = shared_from_this()](
                                        error_code error, std::size_t written) {
    if (!self->open_) {
      return;
    }
    if (error) {
      self->End(error.message());
      return;
    }
    self->OnWritten(written);
  });
}

void frame_stream::OnWritten(std::size_t bytes) {
  writing_ = false;
  last_taken_ = monotonic_clock::now();
  unsent_bytes_ -= bytes;
  front_taken_ += bytes;
  while (!unsent_.empty() && front_taken_ >= unsent_.front().bytes->size()) {
    const outgoing& written = unsent_.front();
    front_taken_ -= written.bytes->size();
    unsent_news_ -= written.is_news ? written.bytes->size() : 0;
    unsent_.pop_front();
  }
  Write();
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
    self->on_dropped_ = nullptr;
    self->received_ = std::string();
    self->incoming_.Release();
  });
}

}  // namespace pistachioweir
