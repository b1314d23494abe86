// child_process: a program that a test or tool starts and ends by its id.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir::standin {

// Owns the process: its destructor kills it, and the kernel does if the owner
// dies, so that nothing stays behind a test that fails. Start all children from
// one thread that outlives them.
class child_process {
 public:
  // Starts `arguments`[0] with output appended to `log`. Throws
  // std::system_error if it can't.
  child_process(const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  [[nodiscard]] pid_t pid() const { return pid_; }

  // Sends `number`, as SIGSTOP; nothing if the process has ended.
  void Signal(int number);
  // kill -9, and waits for the end.
  void Kill();
  // Waits for the end by itself: the exit status, or 128 and a signal's number;
  // nothing if it still runs after `limit`.
  std::optional<int> Wait(milliseconds limit);

 private:
  std::optional<int> Poll();

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace pistachioweir::standin
