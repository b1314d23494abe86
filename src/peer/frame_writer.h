// frame_writer: writes one frame, field by field.
#pragma once

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

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
    std::string bytes(buffer_.data(), buffer_.size());
    const auto length = static_cast<std::uint32_t>(bytes.size());
    for (int i = 0; i < 4; ++i) {
      bytes[static_cast<std::size_t>(i)] =
          static_cast<char>(length >> (8 * (3 - i)));
    }
    bytes[4] = static_cast<char>(kind);
    return bytes;
  }

 private:
  frame_writer& PutCount(std::int64_t count) {
    return Put(static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)));
  }

  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

}  // namespace pistachioweir
