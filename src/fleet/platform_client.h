// platform_client: reads documents of the platform's configuration service
// over HTTP. Never writes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/config/settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pistachioweir {

enum class read_status : std::uint8_t {
  kFound,
  kUnchanged,  // A watch ended without a newer revision.
  kMissing,
  kFailed,
};

inline constexpr enum_table<read_status, 4> kReadStatusNames(
    {"found", "unchanged", "missing", "failed"});

struct platform_read {
  read_status status = read_status::kFailed;
  std::uint64_t revision = 0;
  std::string body;
};

struct read_request {
  std::string key;
  // With a wait: answered when the document is newer than `after`.
  std::uint64_t after = 0;
  milliseconds wait{0};
};

using read_handler = std::function<void(platform_read)>;

// Each read opens a connection of its own, so that one that has gone silent
// costs one read and no more. Reads are few by design. Thread-safe if the
// endpoints don't change.
class platform_client {
 public:
  // A value is at most 1 MiB; a little more for the headers around it.
  static constexpr std::size_t kMaxBody = (1 << 20) + 1;
  static constexpr milliseconds kTimeout{1000};

  platform_client(boost::asio::io_context& io, std::vector<endpoint> platform);

  // Calls `done` once, on a thread of the io_context, after at most the wait
  // and kTimeout. `seed` picks the first endpoint to try.
  void Read(const read_request& request, std::uint64_t seed, read_handler done);

 private:
  boost::asio::io_context& io_;
  const std::shared_ptr<const std::vector<endpoint>> platform_;
};

}  // namespace pistachioweir
