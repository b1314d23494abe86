// child_process: a program that a test starts and ends.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace pistachioweir {

// Owns the process: ends it when it goes, by SIGTERM and, if that doesn't help
// within a few seconds, SIGKILL.
class child_process {
 public:
  // Starts `arguments[0]`; its output goes to the file `log`.
  child_process(const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  [[nodiscard]] bool Running() const;

 private:
  pid_t pid_ = -1;
};

}  // namespace pistachioweir
