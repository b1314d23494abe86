// pw-verify: judges the records of a run. Exit status 1 if a promise is broken.
#include <CLI/CLI.hpp>

#include <iostream>

#include "standin/verifier.h"

namespace pistachioweir::standin {
namespace {

int Run(int argc, char** argv) {
  CLI::App app("Checks what targets ran against what callers were told.");
  std::vector<std::string> records;
  std::vector<std::string> logs;
  verifier_options options;
  app.add_option("--records", records, "Files of JSON lines")->required();
  app.add_option("--logs", logs, "Logs of daemons");
  app.add_option("--retry-credit", options.retry_credit);
  CLI11_PARSE(app, argc, argv);

  verifier checks(options);
  for (const std::string& path : records) {
    checks.ReadRecords(path);
  }
  for (const std::string& path : logs) {
    checks.ReadLog(path);
  }
  const verdict result = checks.Judge();
  std::cout << "executions " << result.executions << ", told " << result.told
            << ", completed " << result.completed << '\n';
  for (const auto& [name, seen] : result.violations) {
    std::cout << name << ": " << seen.size() << ", first: " << seen.front()
              << '\n';
  }
  return result.ok() ? 0 : 1;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-verify: " << error.what() << '\n';
    return 2;
  }
}
