// Lines on their way to a reader that may be slow or gone.
#include "src/base/log_buffer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <sstream>
#include <string>

#include "include/base/call_log.h"

namespace pistachioweir {
namespace {

class log_buffer_test : public testing::Test {
 protected:
  log_buffer_test() {
    EXPECT_EQ(pipe(ends_.data()), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    fcntl(ends_[1], F_SETPIPE_SZ, 4096);
  }
  ~log_buffer_test() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  // What has come out, at most `bytes`.
  std::string Take(std::size_t bytes) {
    std::string taken(bytes, '\0');
    const ssize_t count = read(ends_[0], taken.data(), taken.size());
    taken.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return taken;
  }

  std::array<int, 2> ends_{};
};

// Nobody reads the log for a while. Whoever serves requests must not wait for
// it: adding returns, and when the reader is back it gets whole lines, and a
// line that tells how many are missing.
TEST_F(log_buffer_test, AReaderThatStopsCostsLinesButNoTime) {
  log_buffer buffer(ends_[1], 20000);
  constexpr int kLines = 1000;
  for (int i = 0; i < kLines; ++i) {
    buffer.Add("event=a number=" + std::to_string(i) + " " +
               std::string(80, 'x') + "\n");
    buffer.Flush();
  }
  EXPECT_GT(buffer.dropped(), 0U);
  EXPECT_LE(buffer.waiting(), 21000U);
  std::string all;
  for (int i = 0; i < 1000; ++i) {
    all += Take(777);
    buffer.Flush();
  }
  buffer.Add("event=last\n");
  buffer.Flush();
  all += Take(4096);
  std::istringstream lines(all);
  std::string line;
  std::uint64_t whole = 0;
  bool told = false;
  while (std::getline(lines, line)) {
    told = told || line.find("event=log_lines_dropped") != line.npos;
    whole += line.ends_with("xxx") && line.starts_with("event=a") ? 1 : 0;
  }
  EXPECT_EQ(whole + buffer.dropped(), static_cast<std::uint64_t>(kLines));
  EXPECT_TRUE(told);
  EXPECT_TRUE(all.ends_with("event=last\n"));
}

TEST_F(log_buffer_test, AReaderThatIsGoneIsNoError) {
  close(ends_[0]);
  signal(SIGPIPE, SIG_IGN);
  log_buffer buffer(ends_[1], 1000);
  buffer.Add("event=a\n");
  buffer.Flush();
  EXPECT_EQ(buffer.waiting(), 8U);
  EXPECT_EQ(pipe(ends_.data()), 0);
}

}  // namespace
}  // namespace pistachioweir
