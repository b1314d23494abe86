// Processes by fork and exec.
#include "standin/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <thread>

namespace pistachioweir::standin {
namespace {

constexpr milliseconds kPollInterval(5);
constexpr int kSignalStatus = 128;
constexpr int kExecFailed = 127;

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  const int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(kExecFailed);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(argv[0], argv.data());
    ::_exit(kExecFailed);
  }
  if (output >= 0) {
    ::close(output);
  }
}

child_process::~child_process() {
  Kill();
}

void child_process::Signal(int number) {
  if (!Poll()) {
    ::kill(pid_, number);
  }
}

void child_process::Kill() {
  if (status_) {
    return;
  }
  ::kill(pid_, SIGKILL);
  int raw = 0;
  ::waitpid(pid_, &raw, 0);
  status_ = kSignalStatus + SIGKILL;
}

std::optional<int> child_process::Wait(milliseconds limit) {
  const time_point end = monotonic_clock::now() + limit;
  while (!Poll() && monotonic_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return status_;
}

std::optional<int> child_process::Poll() {
  int raw = 0;
  if (!status_ && ::waitpid(pid_, &raw, WNOHANG) == pid_) {
    status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : kSignalStatus + WTERMSIG(raw);
  }
  return status_;
}

}  // namespace pistachioweir::standin
