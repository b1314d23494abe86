// Log lines by easylogging++.
#include "include/base/log.h"

#include <easylogging++.h>

namespace pistachioweir {
namespace {

void AppendValue(std::string* line, std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"\\=\n") == value.npos;
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char c : value) {
    if (c == '\n') {
      line->append("\\n");
      continue;
    }
    if (c == '"' || c == '\\') {
      line->push_back('\\');
    }
    line->push_back(c);
  }
  line->push_back('"');
}

std::string ToLine(std::string_view event,
                   std::initializer_list<log_field> fields) {
  std::string line = "event=";
  AppendValue(&line, event);
  for (const log_field& field : fields) {
    line.push_back(' ');
    line.append(field.name);
    line.push_back('=');
    AppendValue(&line, field.value);
  }
  return line;
}

}  // namespace

void InitLog() {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(config);
}

void LogEvent(std::string_view event, std::initializer_list<log_field> fields) {
  LOG(INFO) << ToLine(event, fields);
}

void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields) {
  LOG(WARNING) << ToLine(event, fields);
}

}  // namespace pistachioweir
