// Starting and ending programs.
#include "tests/support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace pistachioweir {
namespace {

constexpr int kStopPolls = 250;
constexpr std::chrono::milliseconds kStopPoll(20);

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process() {
  if (pid_ <= 0) {
    return;
  }
  kill(pid_, SIGTERM);
  for (int i = 0; i < kStopPolls; ++i) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      return;
    }
    std::this_thread::sleep_for(kStopPoll);
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool child_process::Running() const {
  return pid_ > 0 && kill(pid_, 0) == 0;
}

}  // namespace pistachioweir
