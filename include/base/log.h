// Structured log lines on standard output, one event a line, as key=value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachioweir {

struct log_field {
  std::string_view name;
  std::string value;
};

enum class log_level : std::uint8_t { kInfo, kWarning };

// Sends lines to standard output without ever blocking: what the reader of the
// pipe doesn't take is held back up to a bound, then dropped and counted. Call
// once, before threads start.
void InitLog();

// Lines are held back until FlushLog(), which `schedule` must arrange for soon
// whenever it is called. Without it each line is written at once. A busy daemon
// so pays one system call for many lines. Thread-safe; `schedule` is called on
// any thread.
void ScheduleLogFlush(std::function<void()> schedule);
void FlushLog();
// The same in a handler of a fatal signal. Writes nothing if the lines were
// being changed when the signal came.
void FlushLogAtCrash();

// Writes one line: "time=... level=... event=NAME field=value ...". Values with
// spaces, quotes or control bytes are quoted, and control bytes written as "\n"
// and "\xNN". Thread-safe.
void LogEvent(std::string_view event,
              std::initializer_list<log_field> fields = {});
void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields = {});

// The same line as text with its line end, to be written later.
void AppendLogLine(log_level level,
                   std::string_view event,
                   std::initializer_list<log_field> fields,
                   std::string* lines);
// Writes lines that AppendLogLine() made; all of them or, if there is no room,
// none.
void WriteLogLines(std::string_view lines);

// Lines dropped since the start because nobody took them in time.
[[nodiscard]] std::uint64_t DroppedLogLines();

}  // namespace pistachioweir
