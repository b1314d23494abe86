// Log lines. easylogging++ formats those of the process's life; the lines of
// single requests, of which there are thousands a second, are put together
// here. Both go through one buffer.
#include "include/base/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <utility>

#include "src/base/log_buffer.h"

namespace pistachioweir {
namespace {

// A second or two of lines at the rate at which a busy daemon fails requests.
constexpr std::size_t kMaxWaitingBytes = 1 << 20;

log_buffer& Buffer() {
  static log_buffer buffer(STDOUT_FILENO, kMaxWaitingBytes);
  return buffer;
}

struct flush_schedule {
  std::mutex mutex;
  std::function<void()> schedule;  // Guarded by mutex.
};

flush_schedule& Schedule() {
  static flush_schedule schedule;
  return schedule;
}

constexpr bool IsControl(char c) {
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

// Values come from callers, targets and the store. A control byte in one would
// end a line, or be obeyed by the terminal that shows it.
void AppendControl(std::string* line, char c) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  if (c == '\n') {
    line->append("\\n");
    return;
  }
  const auto byte = static_cast<unsigned char>(c);
  line->append("\\x");
  line->push_back(kDigits[byte / kDigits.size()]);
  line->push_back(kDigits[byte % kDigits.size()]);
}

void AppendValue(std::string* line, std::string_view value) {
  const bool plain = !value.empty() &&
                     value.find_first_of(" \"\\=") == value.npos &&
                     std::ranges::none_of(value, IsControl);
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char c : value) {
    if (IsControl(c)) {
      AppendControl(line, c);
      continue;
    }
    if (c == '"' || c == '\\') {
      line->push_back('\\');
    }
    line->push_back(c);
  }
  line->push_back('"');
}

void AppendFields(std::string_view event,
                  std::initializer_list<log_field> fields,
                  std::string* line) {
  line->append("event=");
  AppendValue(line, event);
  for (const log_field& field : fields) {
    line->push_back(' ');
    line->append(field.name);
    line->push_back('=');
    AppendValue(line, field.value);
  }
}

// "2026-01-31T12:00:00", made once a second on each thread.
std::string_view SecondText(std::time_t now) {
  thread_local std::time_t known = 0;
  thread_local std::array<char, 32> text{};
  thread_local std::size_t length = 0;
  if (now != known) {
    std::tm parts{};
    gmtime_r(&now, &parts);
    length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    known = now;
  }
  return {text.data(), length};
}

void AppendTime(std::string* line) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  constexpr std::int64_t kPerSecond = 1000;
  std::array<char, 8> fraction{};
  const int length = std::snprintf(fraction.data(), fraction.size(), ".%03d",
                                   static_cast<int>(count % kPerSecond));
  line->append("time=").append(SecondText(count / kPerSecond));
  line->append(fraction.data(), static_cast<std::size_t>(length));
}

// Takes the library's finished lines instead of its own output.
class buffer_dispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    WriteLogLines(data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), true));
  }
};

}  // namespace

void InitLog() {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(config);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<buffer_dispatch>("buffer");
}

void ScheduleLogFlush(std::function<void()> schedule) {
  const std::lock_guard lock(Schedule().mutex);
  Schedule().schedule = std::move(schedule);
}

void FlushLog() {
  Buffer().Flush();
}

void FlushLogAtCrash() {
  Buffer().TryFlush();
}

void WriteLogLines(std::string_view lines) {
  const bool first = Buffer().Add(lines);
  const std::lock_guard lock(Schedule().mutex);
  if (!Schedule().schedule) {
    Buffer().Flush();
  } else if (first) {
    Schedule().schedule();
  }
}

std::uint64_t DroppedLogLines() {
  return Buffer().dropped();
}

void AppendLogLine(log_level level,
                   std::string_view event,
                   std::initializer_list<log_field> fields,
                   std::string* lines) {
  AppendTime(lines);
  lines->append(level == log_level::kInfo ? " level=INFO " : " level=WARNING ");
  AppendFields(event, fields, lines);
  lines->push_back('\n');
}

void LogEvent(std::string_view event, std::initializer_list<log_field> fields) {
  std::string line;
  AppendFields(event, fields, &line);
  LOG(INFO) << line;
}

void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields) {
  std::string line;
  AppendFields(event, fields, &line);
  LOG(WARNING) << line;
}

}  // namespace pistachioweir
