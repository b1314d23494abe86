// `pistachioweir status`, `audit` and `explain`: pages of the admin port as
// tables, or as the JSON that the daemon sent.
#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "src/cli/admin_client.h"
#include "src/cli/commands.h"
#include "src/cli/exit_status.h"
#include "src/cli/render.h"
#include "src/config/value_parsers.h"

namespace pistachioweir {
namespace {

struct read_options {
  std::string admin;
  bool json = false;
  int timeout_ms = 5000;
  // One of these, by subcommand.
  std::size_t max = 100;
  std::string method;
};

struct page_request {
  std::string path;
  std::string query;
  std::function<std::optional<std::string>(const std::string&)> render;
};

int PrintPage(const read_options& options, const page_request& request) {
  const auto address = ParseEndpointText(options.admin);
  if (!address) {
    std::cerr << options.admin
              << ": not an IP number and a port such as 127.0.0.1:7004\n";
    return kExitBadInput;
  }
  const admin_page page = FetchAdminPage(*address, request.path, request.query,
                                         milliseconds(options.timeout_ms));
  if (!page.problem.empty()) {
    std::cerr << page.problem << '\n';
    return kExitFailed;
  }
  const auto text =
      options.json ? std::optional(page.body) : request.render(page.body);
  if (!text) {
    std::cerr << options.admin << ": answered something else than a daemon\n";
    return kExitFailed;
  }
  std::cout << *text;
  return kExitSuccess;
}

// Splits "SERVICE/METHOD" and asks why its calls were refused.
int Explain(const read_options& options) {
  const std::size_t slash = options.method.find('/');
  const std::string service = options.method.substr(0, slash);
  const std::string method =
      slash == std::string::npos ? "" : options.method.substr(slash + 1);
  if (!IsName(service) || !IsName(method)) {
    std::cerr << options.method << ": not SERVICE/METHOD\n";
    return kExitBadInput;
  }
  return PrintPage(options,
                   {.path = "/explain",
                    .query = "service=" + service + "&method=" + method,
                    .render = RenderExplanation});
}

CLI::App* AddReader(CLI::App& app,
                    const std::string& name,
                    const std::string& description,
                    read_options* options) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("--admin", options->admin, "Admin address, as IP:PORT")
      ->required();
  command->add_flag("--json", options->json, "Print what the daemon sent");
  command->add_option("--timeout-ms", options->timeout_ms, "Longest wait")
      ->check(CLI::Range(1, 600000))
      ->capture_default_str();
  return command;
}

}  // namespace

void AddStatusCommand(CLI::App& app, int* status) {
  auto options = std::make_shared<read_options>();
  CLI::App* command = AddReader(
      app, "status", "Show what a daemon says of itself", options.get());
  command->footer("Example:\n  pistachioweir status --admin 127.0.0.1:7004");
  command->callback([options, status] {
    *status = PrintPage(
        *options, {.path = "/status", .query = {}, .render = RenderStatus});
  });
}

void AddAuditCommand(CLI::App& app, int* status) {
  auto options = std::make_shared<read_options>();
  CLI::App* command = AddReader(
      app, "audit", "Show the last changes of a daemon's state", options.get());
  command->add_option("--max", options->max, "Events, the last ones")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  command->footer(
      "Example:\n  pistachioweir audit --admin 127.0.0.1:7004 --max 20");
  command->callback([options, status] {
    *status =
        PrintPage(*options, {.path = "/audit",
                             .query = "max=" + std::to_string(options->max),
                             .render = RenderAudit});
  });
}

void AddExplainCommand(CLI::App& app, int* status) {
  auto options = std::make_shared<read_options>();
  CLI::App* command = AddReader(
      app, "explain",
      "Show why the last calls of a method were refused, and when to come back",
      options.get());
  command->add_option("method", options->method, "SERVICE/METHOD")->required();
  command->footer(
      "Example:\n"
      "  pistachioweir explain mail/list --admin 127.0.0.1:7004");
  command->callback([options, status] { *status = Explain(*options); });
}

}  // namespace pistachioweir
