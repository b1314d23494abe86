// frame_stream: one TCP connection between daemons as a stream of frames.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "include/base/time.h"
#include "include/memory/memory_budget.h"
#include "src/peer/peer_frame.h"
#include "src/peer/stream_load.h"

namespace pistachioweir {

// Largest frame that is taken: the largest body of a call, and its headers.
inline constexpr std::size_t kMaxFrameBytes = (64 << 20) + (1 << 20);
// How long the kernel tries to bring bytes to a peer. Asking over another
// connection comes long before; this clears what is left.
inline constexpr milliseconds kPeerSilence{2000};
// A peer that doesn't read would make this daemon keep all that it is sent. If
// more than this waits and the peer takes nothing for kPeerSilence, the
// connection ends; what was on it is asked for again. One body may be larger.
inline constexpr std::size_t kMaxUnsentBytes = 16 << 20;
// Bytes that are read at a time before their frames are handled. Holds what a
// peer sends within seconds, so that a daemon whose event loop is late sees a
// call's cancellation together with the call; other connections wait meanwhile.
inline constexpr std::size_t kMaxReadBytes = 1 << 20;
// Bytes of news that a peer may leave unread. What it misses beyond that is
// told at once when it has read. Without a bound a peer that stands still would
// make this daemon keep all of it.
inline constexpr std::size_t kMostUnreadBytes = 64 << 10;

// Owns the socket; kept alive by its pending operations until it is closed.
// Used on its socket's thread only. Hears no more after Close().
class frame_stream : public std::enable_shared_from_this<frame_stream> {
 public:
  using on_frame = std::function<void(const frame_view&)>;
  // The connection ended, or broke the protocol.
  using on_end = std::function<void(std::string_view why)>;
  // There was no room for a call or an answer, which bears this number; its
  // bytes are passed over.
  using on_dropped = std::function<void(frame_kind kind, std::uint64_t number)>;

  // Without `memory`, frames are bounded by kMaxFrameBytes alone.
  explicit frame_stream(boost::asio::ip::tcp::socket socket,
                        std::shared_ptr<memory_budget> memory = nullptr);

  void Start(on_frame frame, on_end end, on_dropped dropped = nullptr);
  void Send(std::string bytes);
  void Send(std::shared_ptr<const std::string> bytes);
  void Send(frame_parts parts);
  // False if the peer has not taken news of kMostUnreadBytes yet: nothing is
  // sent. Bodies that are under way don't count.
  bool SendNews(std::shared_ptr<const std::string> bytes);
  void Close();

  [[nodiscard]] bool open() const { return open_; }
  // Bytes that the peer has not taken yet.
  [[nodiscard]] std::size_t unsent_bytes() const { return unsent_bytes_; }
  [[nodiscard]] stream_load load() const {
    return {.open = 1,
            .unsent_bytes = unsent_bytes_,
            .most_unsent_bytes = unsent_bytes_,
            .unread_bytes = received_.size()};
  }
  // When the last bytes came.
  [[nodiscard]] time_point last_heard() const { return last_heard_; }
  // When the peer last took bytes, or the oldest that wait were sent.
  [[nodiscard]] time_point last_taken() const { return last_taken_; }

 private:
  struct outgoing {
    std::shared_ptr<const std::string> bytes;
    bool is_news = false;
  };

  void Read();
  // Appends what else is ready, if the last read filled the buffer.
  void ReadRest(std::size_t last_read);
  void Digest();
  // Reserves bytes for the large frame that `rest` begins with. False if they
  // don't fit: the frame is then passed over.
  bool ReserveFrame(std::string_view rest);
  // Returns how many bytes of `rest` belong to the frame that is passed over.
  std::size_t PassOver(std::size_t rest);
  // Whether more may be queued. Ends the connection of a peer that doesn't
  // read.
  bool MayQueue();
  void Queue(outgoing next);
  void Write();
  void OnWritten(std::size_t bytes);
  void End(std::string_view why);

  boost::asio::ip::tcp::socket socket_;
  on_frame on_frame_;
  on_end on_end_;
  on_dropped on_dropped_;
  const std::shared_ptr<memory_budget> memory_;
  memory_reservation incoming_;  // For a large frame in `received_`.
  std::size_t passed_over_ = 0;  // Bytes of a frame that are still to come.
  std::array<char, 16384> chunk_{};
  std::string received_;  // Without the frames that were handed over.
  std::deque<outgoing> unsent_;
  std::size_t front_taken_ = 0;   // Bytes of the first that were written.
  std::size_t unsent_bytes_ = 0;  // Without these.
  std::size_t unsent_news_ = 0;   // Bytes of SendNews() in unsent_.
  bool writing_ = false;
  time_point last_taken_;
  time_point last_heard_;
  bool overfull_ = false;  // About to end; what is sent is dropped.
  bool open_ = true;
};

}  // namespace pistachioweir
