// Checks of settings and manifests in files.
#include "src/cli/config_check.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

#include "include/config/manifest_parser.h"
#include "include/config/manifest_set.h"
#include "include/config/settings.h"
#include "src/cli/text_file.h"

namespace pistachioweir {
namespace {

void Append(config_errors more, config_errors* errors) {
  errors->insert(errors->end(), std::make_move_iterator(more.begin()),
                 std::make_move_iterator(more.end()));
}

// The files that the paths name, in order.
std::vector<std::string> ListFiles(const std::vector<std::string>& paths,
                                   config_errors* errors) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
      files.push_back(path);
      continue;
    }
    std::vector<std::string> found;
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
      if (entry.path().extension() == ".json") {
        found.push_back(entry.path().string());
      }
    }
    if (error || found.empty()) {
      errors->push_back({.place = path,
                         .problem = error ? error.message() : "holds no files",
                         .expected = "a folder of *.json files"});
    }
    std::ranges::sort(found);
    std::ranges::move(found, std::back_inserter(files));
  }
  return files;
}

// Parses each file by `parse`; what has no errors is returned.
template <typename T, typename Parse>
std::vector<T> ParseFiles(const std::vector<std::string>& paths,
                          Parse parse,
                          std::size_t* count,
                          config_errors* errors) {
  std::vector<T> values;
  for (const std::string& file : ListFiles(paths, errors)) {
    ++*count;
    const auto text = ReadTextFile(file);
    if (!text) {
      errors->push_back({.place = file,
                         .problem = "can't be read",
                         .expected = "a file of JSON with comments"});
      continue;
    }
    parse_result<T> result = parse(*text, file);
    if (result.ok()) {
      values.push_back(std::move(result.value));
    }
    Append(std::move(result.errors), errors);
  }
  return values;
}

// Each VM is one daemon's; two that call themselves the same would answer for
// each other's keys.
void CheckVmNames(const std::vector<daemon_settings>& all,
                  config_errors* errors) {
  std::map<vm_id, std::size_t> counts;
  for (const daemon_settings& settings : all) {
    ++counts[settings.vm];
  }
  for (const auto& [vm, count] : counts) {
    if (count > 1) {
      errors->push_back(
          {.place = "vm " + vm,
           .problem = "named by " + std::to_string(count) + " settings files",
           .expected = "a name of its own for each"});
    }
  }
}

void CheckServices(const std::vector<daemon_settings>& all,
                   const manifest_set& set,
                   config_errors* errors) {
  for (const daemon_settings& settings : all) {
    if (set.Find(settings.service) == nullptr) {
      errors->push_back(
          {.place = "vm " + settings.vm,
           .problem = "serves " + settings.service + ", which has no manifest",
           .expected = "a manifest of " + settings.service});
    }
  }
}

void CheckSuccessors(const manifest_set& old,
                     const manifest_set& next,
                     config_errors* errors) {
  for (const service_manifest& manifest : next.manifests()) {
    if (const service_manifest* previous = old.Find(manifest.service)) {
      Append(CheckSuccessor(*previous, manifest), errors);
    }
  }
}

}  // namespace

config_report CheckConfig(const config_paths& paths) {
  config_report report;
  const auto settings = ParseFiles<daemon_settings>(
      paths.settings, ParseSettings, &report.settings, &report.errors);
  CheckVmNames(settings, &report.errors);
  const bool files_are_good = report.errors.empty();

  auto manifests = ParseFiles<service_manifest>(
      paths.manifests, ParseManifest, &report.manifests, &report.errors);
  const bool all_parsed = manifests.size() == report.manifests;
  const manifest_set set(std::move(manifests));
  // With a manifest missing, all who call it would be reported too.
  if (all_parsed && report.manifests > 0) {
    Append(set.Check(), &report.errors);
    Append(set.Warnings(), &report.warnings);
    if (files_are_good) {
      CheckServices(settings, set, &report.errors);
    }
  }
  std::size_t previous_files = 0;
  const manifest_set previous(ParseFiles<service_manifest>(
      paths.previous, ParseManifest, &previous_files, &report.errors));
  CheckSuccessors(previous, set, &report.errors);
  return report;
}

}  // namespace pistachioweir
