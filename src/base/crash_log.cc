// The handler of fatal signals. It calls only what is safe in a signal handler:
// the fault may have come while the heap was being changed, or with its lock
// held.
#include "src/base/crash_log.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>

#include "include/base/log.h"

// The linker's names for the limits of the program's code.
extern "C" {
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern const char __executable_start;
extern const char __etext;
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
}

namespace pistachioweir {
namespace {

constexpr std::size_t kMaxFrames = 32;

struct fatal_signal {
  int number;
  std::string_view name;
};

constexpr std::array<fatal_signal, 5> kFatalSignals{{{SIGSEGV, "SIGSEGV"},
                                                     {SIGBUS, "SIGBUS"},
                                                     {SIGILL, "SIGILL"},
                                                     {SIGFPE, "SIGFPE"},
                                                     {SIGABRT, "SIGABRT"}}};

std::string_view NameOf(int signal) {
  for (const fatal_signal& each : kFatalSignals) {
    if (each.number == signal) {
      return each.name;
    }
  }
  return "unknown";
}

// A line of bounded length on the stack.
class crash_line {
 public:
  void Add(std::string_view text) {
    for (const char c : text) {
      if (size_ < text_.size()) {
        text_[size_++] = c;
      }
    }
  }

  // In decimal, with leading zeros.
  void AddNumber(std::uint64_t number, int digits) {
    std::uint64_t unit = 1;
    for (int i = 1; i < digits; ++i) {
      unit *= 10;
    }
    for (; unit > 0; unit /= 10) {
      AddDigit(number / unit % 10);
    }
  }

  void AddHex(std::uintptr_t number) {
    constexpr int kBitsPerDigit = 4;
    int shift = 0;
    while (number >> shift >= 16 && shift < 60) {
      shift += kBitsPerDigit;
    }
    Add("0x");
    for (; shift >= 0; shift -= kBitsPerDigit) {
      AddDigit(number >> shift & 15U);
    }
  }

  [[nodiscard]] std::string_view text() const { return {text_.data(), size_}; }

 private:
  void AddDigit(std::uint64_t digit) {
    Add(std::string_view("0123456789abcdef").substr(digit, 1));
  }

  std::array<char, 1024> text_{};
  std::size_t size_ = 0;
};

// gmtime_r() takes a lock.
void AddTime(crash_line* line) {
  using std::chrono::days;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  constexpr std::int64_t kSecondsPerDay = 86400;
  const std::chrono::year_month_day date{
      std::chrono::sys_days(days(now.tv_sec / kSecondsPerDay))};
  const auto second = static_cast<std::uint64_t>(now.tv_sec % kSecondsPerDay);
  line->Add("time=");
  line->AddNumber(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
  line->Add("-");
  line->AddNumber(static_cast<unsigned>(date.month()), 2);
  line->Add("-");
  line->AddNumber(static_cast<unsigned>(date.day()), 2);
  line->Add("T");
  line->AddNumber(second / 3600, 2);
  line->Add(":");
  line->AddNumber(second / 60 % 60, 2);
  line->Add(":");
  line->AddNumber(second % 60, 2);
  line->Add(".");
  line->AddNumber(static_cast<std::uint64_t>(now.tv_nsec) / 1000000, 3);
}

void AddStack(crash_line* line) {
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  const auto begin = reinterpret_cast<std::uintptr_t>(&__executable_start);
  const auto end = reinterpret_cast<std::uintptr_t>(&__etext);
  for (int i = 0; i < count; ++i) {
    const auto at =
        reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]);
    if (at >= begin && at < end) {
      line->AddHex(at - begin);
      line->Add(",");
    }
  }
}

void OnFatalSignal(int signal, siginfo_t* info, void* /*context*/) {
  FlushLogAtCrash();
  crash_line line;
  AddTime(&line);
  line.Add(" level=ERROR event=crashed signal=");
  line.Add(NameOf(signal));
  line.Add(" address=");
  line.AddHex(reinterpret_cast<std::uintptr_t>(info->si_addr));
  line.Add(" stack=");
  AddStack(&line);
  line.Add("\n");
  [[maybe_unused]] const ssize_t written =
      write(STDOUT_FILENO, line.text().data(), line.text().size());
  // Pending until the handler returns; the default action is in force by then.
  raise(signal);
}

}  // namespace

void LogCrashes() {
  // The first call loads a library, which a handler must not do.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), static_cast<int>(frame.size()));
  for (const fatal_signal& each : kFatalSignals) {
    struct sigaction action {};
    if (sigaction(each.number, nullptr, &action) != 0 ||
        action.sa_handler != SIG_DFL) {
      continue;
    }
    action = {};
    action.sa_sigaction = OnFatalSignal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_RESETHAND);
    sigaction(each.number, &action, nullptr);
  }
}

}  // namespace pistachioweir
