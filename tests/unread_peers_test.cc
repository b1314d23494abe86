// Peers that connect, send a hello frame and don't read.
#include "src/peer/peer_server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/call_log.h"
#include "src/forward/executor.h"

namespace pistachioweir {
namespace {

using tcp = boost::asio::ip::tcp;

// The address sanitizer delays the reuse of freed memory, so that the resident
// size doesn't show the memory in use.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMemoryMeasurable = false;
#else
constexpr bool kMemoryMeasurable = true;
#endif

double ResidentMb() {
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) * 4096 / (1 << 20);
}

// Guards against unbounded memory for connections whose peers don't read, and
// against a crash when such connections end.
TEST(UnreadPeersTest, MemoryForPeersThatDontReadIsBounded) {
  boost::asio::io_context context;
  call_log log{{}};
  executor calls(
      context,
      [](const target_run&, const std::function<void(run_result)>&) {
        return std::function<void()>([] {});
      },
      log, incarnation_id{1});
  peer_server server(
      context,
      {.address = {.ip = "127.0.0.1", .port = 0}, .self = incarnation_id{1}},
      calls);
  std::vector<tcp::socket> peers;
  constexpr std::size_t kPeers = 4;
  for (std::size_t i = 0; i < kPeers; ++i) {
    tcp::socket& peer = peers.emplace_back(context);
    peer.connect(
        {boost::asio::ip::make_address("127.0.0.1"), server.address().port});
    boost::asio::write(peer, boost::asio::buffer(Encode(hello_frame{
                                 .sender = incarnation_id{10 + i},
                                 .vm = "vm-" + std::to_string(i)})));
  }
  context.run_for(std::chrono::milliseconds(200));
  ASSERT_EQ(server.sessions(), kPeers);
  const double before = ResidentMb();
  const suspects_frame cleared{
      .cleared = {{.high = 0x123456789abcdefULL, .low = 0xfedcba9876543210}}};
  const auto frame = std::make_shared<const std::string>(Encode(cleared));
  double max_mb = 0;
  std::size_t max_unsent = 0;
  for (std::size_t i = 1; i <= 1000000 && server.sessions() > 0; ++i) {
    server.SendSuspects(frame, server.senders());
    max_unsent = std::max(max_unsent, server.load().unsent_bytes);
    if (i % 1000 == 0) {
      context.poll();
    }
    if (i % 50000 == 0) {
      max_mb = std::max(max_mb, ResidentMb() - before);
    }
  }
  constexpr double kMaxMb = 32;  // A daemon's limit for control traffic.
  EXPECT_LE(max_unsent, kPeers * 2 * kMostUnreadBytes);
  if (kMemoryMeasurable) {
    EXPECT_LE(max_mb, kMaxMb);
  }
}

}  // namespace
}  // namespace pistachioweir
