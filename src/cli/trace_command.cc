// `pistachioweir trace`: one request's story out of daemons' logs.
#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "src/cli/commands.h"
#include "src/cli/exit_status.h"
#include "src/cli/request_story.h"

namespace pistachioweir {
namespace {

struct trace_options {
  std::string request_id;
  std::vector<std::string> logs;
};

int Trace(const trace_options& options) {
  request_story story(options.request_id);
  if (options.logs.empty()) {
    story.Add(std::cin, "-");
  }
  for (const std::string& path : options.logs) {
    std::ifstream log(path);
    if (!log) {
      std::cerr << path << ": can't be read\n";
      return kExitFailed;
    }
    story.Add(log, path);
  }
  std::cout << story.Text();
  if (story.unreadable() > 0) {
    std::cerr << story.unreadable()
              << " lines name the request and can't be read: cut short or not"
                 " a daemon's\n";
  }
  if (story.Text().empty()) {
    std::cerr << "no line names request " << options.request_id
              << ". Of requests that went well one in 64 is kept; look at the"
                 " logs of all daemons on its way\n";
    return kExitFailed;
  }
  return 0;
}

}  // namespace

void AddTraceCommand(CLI::App& app, int* status) {
  auto options = std::make_shared<trace_options>();
  CLI::App* command = app.add_subcommand(
      "trace", "Print one request's story from daemons' logs, in order");
  command->add_option("request", options->request_id, "The request's id")
      ->required();
  command->add_option("logs", options->logs,
                      "Logs of daemons; standard input if none is given");
  command->footer("Example:\n  pistachioweir trace 9c41d07be2a35f68 vm-*.log");
  command->callback([options, status] { *status = Trace(*options); });
}

}  // namespace pistachioweir
