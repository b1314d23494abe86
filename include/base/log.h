// Structured log lines for changes of state. Everything that happens per
// request is a counter, not a line.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachioweir {

struct log_field {
  std::string_view name;
  std::string value;
};

// Sends lines to standard output, one event a line, as key=value. Call once,
// before threads start.
void InitLog();

// Writes one line: "event=NAME field=value ...". Values with spaces or quotes
// are quoted. Thread-safe.
void LogEvent(std::string_view event,
              std::initializer_list<log_field> fields = {});
void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields = {});

}  // namespace pistachioweir
