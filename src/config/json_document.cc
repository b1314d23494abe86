// Strict JSON by jsoncpp. The library says in one text where each error is; it
// is taken apart here, so that all errors look alike.
#include "src/config/json_document.h"

#include <json/reader.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>

namespace pistachioweir {
namespace {

enum class duplicate_keys { kRefuse, kKeepLast };

std::unique_ptr<Json::CharReader> NewReader(duplicate_keys duplicates) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["collectComments"] = false;
  builder["rejectDupKeys"] = duplicates == duplicate_keys::kRefuse;
  builder["stackLimit"] = kMaxJsonDepth;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

// Returns the library's complaints, empty on success.
std::string Parse(std::string_view text,
                  duplicate_keys duplicates,
                  Json::Value* root) {
  std::string complaints;
  try {
    const char* begin = text.data();
    if (NewReader(duplicates)
            ->parse(begin, begin + text.size(), root, &complaints)) {
      return {};
    }
  } catch (const Json::Exception&) {
    return "* Line 1, Column 1\n  Nested too deeply.\n";
  }
  return complaints.empty() ? "* Line 1, Column 1\n  Not JSON.\n" : complaints;
}

// Turns "* Line 3, Column 5" and the indented text after it into an error. Only
// the first complaint counts: after it the library reads on at a wrong place.
config_error FirstComplaint(const std::string& complaints,
                            std::string_view origin) {
  config_error error{.place = std::string(origin),
                     .problem = {},
                     .expected = "JSON with comments, each key once"};
  std::istringstream lines(complaints);
  std::string line;
  std::getline(lines, line);
  error.place += ": " + line.substr(std::min(line.find("Line"), line.size()));
  while (std::getline(lines, line) && !line.starts_with("* ")) {
    const std::size_t start = line.find_first_not_of(' ');
    error.problem += error.problem.empty() ? "" : " ";
    error.problem += start == line.npos ? "" : line.substr(start);
  }
  return error;
}

}  // namespace

json_document ParseJson(std::string_view text,
                        std::string_view origin,
                        std::size_t max_bytes) {
  json_document document;
  if (text.size() > max_bytes) {
    document.errors.push_back(
        {.place = std::string(origin),
         .problem = std::to_string(text.size()) + " bytes",
         .expected = "at most " + std::to_string(max_bytes) + " bytes"});
    return document;
  }
  const std::string complaints =
      Parse(text, duplicate_keys::kRefuse, &document.root);
  if (complaints.empty()) {
    document.readable = true;
    return document;
  }
  document.errors.push_back(FirstComplaint(complaints, origin));
  document.root = Json::Value();
  document.readable =
      Parse(text, duplicate_keys::kKeepLast, &document.root).empty();
  return document;
}

}  // namespace pistachioweir
