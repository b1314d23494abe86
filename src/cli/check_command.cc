// `pistachioweir check`.
#include "src/cli/commands.h"

#include <json/value.h>
#include <json/writer.h>

#include <CLI/CLI.hpp>

#include <iostream>
#include <memory>
#include <string_view>

#include "src/cli/config_check.h"
#include "src/cli/exit_status.h"

namespace pistachioweir {
namespace {

struct check_options {
  config_paths paths;
  bool json = false;
};

Json::Value ToValue(const config_errors& errors) {
  Json::Value array(Json::arrayValue);
  for (const config_error& error : errors) {
    Json::Value value;
    value["place"] = error.place;
    value["problem"] = error.problem;
    value["expected"] = error.expected;
    array.append(std::move(value));
  }
  return array;
}

void PrintJson(const config_report& report) {
  Json::Value value;
  value["settings"] = static_cast<Json::UInt64>(report.settings);
  value["manifests"] = static_cast<Json::UInt64>(report.manifests);
  value["errors"] = ToValue(report.errors);
  value["warnings"] = ToValue(report.warnings);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  std::cout << Json::writeString(builder, value) << '\n';
}

void PrintLines(std::string_view kind, const config_errors& errors) {
  for (const config_error& error : errors) {
    std::cout << kind << ": " << ToLine(error) << '\n';
  }
}

void Print(const config_report& report) {
  PrintLines("error", report.errors);
  PrintLines("warning", report.warnings);
  std::cout << report.settings << " settings and " << report.manifests
            << " manifests read: " << report.errors.size() << " errors, "
            << report.warnings.size() << " warnings\n";
}

int Check(const check_options& options) {
  const config_report report = CheckConfig(options.paths);
  if (options.json) {
    PrintJson(report);
  } else {
    Print(report);
  }
  return report.errors.empty() ? kExitSuccess : kExitBadInput;
}

}  // namespace

void AddCheckCommand(CLI::App& app, int* status) {
  auto options = std::make_shared<check_options>();
  CLI::App* command = app.add_subcommand(
      "check", "Look for mistakes in settings and manifests");
  command->add_option("--settings", options->paths.settings,
                      "Settings: files, or folders of *.json");
  command->add_option("--manifests", options->paths.manifests,
                      "Manifests: files, or folders of *.json");
  command->add_option("--previous", options->paths.previous,
                      "Manifests in force, to check that versions rise");
  command->add_flag("--json", options->json, "Print one line of JSON");
  command->footer(
      "Examples:\n"
      "  pistachioweir check --manifests examples/andinas/manifests\n"
      "  pistachioweir check --settings a.json --manifests new --previous "
      "old\n"
      "Exit status: 0 without errors, 2 with some.");
  command->callback([options, status] {
    const config_paths& paths = options->paths;
    if (paths.settings.empty() && paths.manifests.empty()) {
      throw CLI::RequiredError("--settings or --manifests");
    }
    *status = Check(*options);
  });
}

}  // namespace pistachioweir
