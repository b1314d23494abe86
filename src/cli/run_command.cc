// `pistachioweir run`: reads the settings and runs the daemon.
#include "src/cli/run_command.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include "include/base/log.h"
#include "include/config/settings.h"
#include "include/daemon/daemon.h"
#include "src/base/crash_log.h"

namespace pistachioweir {
namespace {

// Exit statuses: 1 for a daemon that couldn't start, 2 for wrong settings.
constexpr int kStartFailed = 1;
constexpr int kBadSettings = 2;

int Run(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = ParseSettings(text.str(), path);
  if (!parsed.ok()) {
    for (const config_error& error : parsed.errors) {
      std::cerr << ToLine(error) << '\n';
    }
    return kBadSettings;
  }
  InitLog();
  LogCrashes();
  try {
    return RunDaemon(parsed.value);
  } catch (const std::exception& error) {
    std::cerr << path << ": can't start: " << error.what() << '\n';
    return kStartFailed;
  }
}

}  // namespace

void AddRunCommand(CLI::App& app, int* status) {
  auto path = std::make_shared<std::string>();
  CLI::App* command = app.add_subcommand("run", "Run the daemon");
  command->add_option("--settings", *path, "Settings, JSON with comments")
      ->required()
      ->check(CLI::ExistingFile);
  command->callback([path, status] { *status = Run(*path); });
}

}  // namespace pistachioweir
