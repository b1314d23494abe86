// The line of a process that a fault ends.
#include "src/base/crash_log.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>

#include "include/base/log.h"

namespace pistachioweir {
namespace {

struct ended_process {
  int status = 0;  // Of waitpid().
  std::string output;
};

// Runs `body` in a child process whose standard output is a pipe.
template <typename Body>
ended_process RunInChild(const Body& body) {
  std::array<int, 2> ends{};
  EXPECT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    body();
    _exit(0);
  }
  close(ends[1]);
  ended_process ended;
  std::array<char, 4096> chunk{};
  for (ssize_t got = 0;
       (got = read(ends[0], chunk.data(), chunk.size())) > 0;) {
    ended.output.append(chunk.data(), static_cast<std::size_t>(got));
  }
  close(ends[0]);
  waitpid(child, &ended.status, 0);
  return ended;
}

// Guards against a daemon that ends by a fault without a word in its log, also
// not of what led to it.
TEST(CrashLogTest, AProcessThatAborts) {
  const ended_process ended = RunInChild([] {
    InitLog();
    LogCrashes();
    ScheduleLogFlush([] {});
    LogEvent("before_the_fault");
    std::abort();
  });
  ASSERT_TRUE(WIFSIGNALED(ended.status));
  EXPECT_EQ(WTERMSIG(ended.status), SIGABRT);
  const std::size_t before = ended.output.find("event=before_the_fault\n");
  const std::size_t crashed =
      ended.output.find(" level=ERROR event=crashed signal=SIGABRT address=0x");
  ASSERT_NE(before, std::string::npos) << ended.output;
  ASSERT_NE(crashed, std::string::npos) << ended.output;
  EXPECT_LT(before, crashed);
  EXPECT_NE(ended.output.find(" stack=0x", crashed), std::string::npos);
  EXPECT_EQ(ended.output.back(), '\n');
}

// Guards against a crash line that takes the place of a sanitizer's report.
TEST(CrashLogTest, SignalsThatAreHandledAlreadyAreLeftAlone) {
  const ended_process ended = RunInChild([] {
    constexpr int kHandled = 7;
    std::signal(SIGABRT, [](int) { _exit(kHandled); });
    LogCrashes();
    std::abort();
  });
  ASSERT_TRUE(WIFEXITED(ended.status));
  EXPECT_EQ(WEXITSTATUS(ended.status), 7);
}

}  // namespace
}  // namespace pistachioweir
