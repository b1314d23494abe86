// frame_writer: writes one frame, field by field.
#pragma once

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "include/base/time.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// Leaves room for the head, which is known last.
class frame_writer {
 public:
  explicit frame_writer(std::uint32_t fields) : packer_(buffer_) {
    buffer_.write("\0\0\0\0\0", kFrameHeadBytes);
    packer_.pack_array(fields);
  }

  template <typename Value>
  frame_writer& Put(const Value& value) {
    packer_.pack(value);
    return *this;
  }

  // A large body isn't copied; Finish() then gives it as a part of its own.
  frame_writer& PutBody(const shared_bytes& body) {
    constexpr std::size_t kMinApart = 64 << 10;
    if (body.size() < kMinApart) {
      return Put(body.str());
    }
    packer_.pack_str(static_cast<std::uint32_t>(body.size()));
    body_ = body;
    body_at_ = buffer_.size();
    return *this;
  }

  // No time before now.
  frame_writer& Put(milliseconds time) { return PutCount(time.count()); }
  frame_writer& Put(microseconds time) { return PutCount(time.count()); }

  frame_writer& Put(const load_report& load) {
    return Put(load.admission_level)
        .Put(load.in_flight)
        .Put(load.queued)
        .Put(load.limit)
        .Put(load.pressure);
  }

  frame_writer& Put(const neighbour_report& report) {
    // An age that no word counts for any more is as good as any older one. The
    // last one is told one greater, and as zero if there is none.
    constexpr milliseconds kOldest = std::chrono::hours(1);
    return Put(report.revision)
        .Put(std::min(report.age, kOldest))
        .Put(report.vouched)
        .Put(std::min(report.vouched_ago, kOldest))
        .Put(report.store_answered_ago
                 ? std::min(*report.store_answered_ago, kOldest) +
                       milliseconds(1)
                 : milliseconds(0));
  }

  [[nodiscard]] std::string Finish(frame_kind kind) const {
    return Join(FinishParts(kind));
  }

  [[nodiscard]] frame_parts FinishParts(frame_kind kind) const {
    const std::string_view all(buffer_.data(), buffer_.size());
    frame_parts parts{.head = std::string(all.substr(0, body_at_)),
                      .body = body_};
    if (!body_.empty()) {
      parts.tail = all.substr(body_at_);
    }
    std::string& bytes = parts.head;
    const auto length =
        static_cast<std::uint32_t>(buffer_.size() + body_.size());
    for (int i = 0; i < 4; ++i) {
      bytes[static_cast<std::size_t>(i)] =
          static_cast<char>(length >> (8 * (3 - i)));
    }
    bytes[4] = static_cast<char>(kind);
    return parts;
  }

 private:
  frame_writer& PutCount(std::int64_t count) {
    return Put(static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)));
  }

  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
  shared_bytes body_;  // Of PutBody(), if it is a part of its own.
  std::size_t body_at_ = std::string_view::npos;  // Where it stands in buffer_.
};

}  // namespace pistachioweir
