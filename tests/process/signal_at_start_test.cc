// Signals that reach a daemon while it starts.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "standin/child_process.h"
#include "standin/own_ip.h"

namespace pistachioweir {
namespace {

std::string Address(int port) {
  return "\"" + standin::OwnIp() + ":" + std::to_string(port) + "\"";
}

// The daemon reads its settings from a pipe: it has begun to start when the
// pipe has a reader, and goes on once the settings are written.
class signal_at_start_test : public testing::Test {
 protected:
  signal_at_start_test()
      : folder_(testing::TempDir() + "pw-signal-" + standin::OwnIp()),
        pipe_(folder_ + "/settings.json") {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    mkfifo(pipe_.c_str(), 0600);
  }
  ~signal_at_start_test() override { std::filesystem::remove_all(folder_); }

  // What the daemon ends with if `signal` comes before it has its settings.
  std::optional<int> EndAfter(const std::string& command,
                              const std::string& settings,
                              int signal) {
    standin::child_process daemon(
        {std::string(PW_BINARY_DIR) + "/pistachioweir", command, "--settings",
         pipe_},
        folder_ + "/log");
    std::ofstream writer(pipe_);
    daemon.Signal(signal);
    writer << settings;
    writer.close();
    return daemon.Wait(seconds(60));
  }

 private:
  const std::string folder_;
  const std::string pipe_;
};

// Guards against a daemon that is ended by a signal which it can't handle yet.
TEST_F(signal_at_start_test, ServeStopsInOrder) {
  const std::string settings =
      R"({"vm": "vm-1", "service": "registry", "data_centre": "a", "caller": )" +
      Address(7101) + R"(, "peer": )" + Address(7102) + R"(, "ready": )" +
      Address(7103) + R"(, "admin": )" + Address(7104) + R"(, "target": )" +
      Address(7105) + R"(, "platform": [)" + Address(7106) + "]}";
  for (const int signal : {SIGTERM, SIGINT}) {
    EXPECT_EQ(EndAfter("serve", settings, signal), 0) << signal;
  }
}

TEST_F(signal_at_start_test, RunStopsInOrder) {
  const std::string settings =
      R"({"vm": "mail-1", "service": "mail", "data_centre": "scl-1",
      "region": "cl", "fleet_keys": ["a key for one test alone"],
      "stop_timeout_ms": 2000, "caller": )" +
      Address(7001) + R"(, "local": )" + Address(7002) + R"(, "peer": )" +
      Address(7003) + R"(, "admin": )" + Address(7004) + R"(, "target": )" +
      Address(7005) + R"(, "platform": [)" + Address(7100) + "]}";
  EXPECT_EQ(EndAfter("run", settings, SIGTERM), 0);
}

}  // namespace
}  // namespace pistachioweir
