// pw-bench-latency: what the system adds to a call. One run sends the same
// open-loop load direct to targets and through two daemons, side by side, so
// that whatever else the machine does meets both.
#include <CLI/CLI.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <thread>

#include <boost/asio.hpp>

#include "standin/fleet.h"
#include "standin/record_file.h"
#include "tools/load.h"

namespace pistachioweir::standin {
namespace {

constexpr char kManifest[] = R"({
  "service": "echo", "version": 1, "slots": 40, "connections": 300,
  "methods": [{"name": "read", "timeout_ms": 1000}]})";
constexpr char kWork[] = R"({"echo": {"read": 1}})";
constexpr char kEntrance[] = "echo-1";
constexpr char kFar[] = "echo-2";
constexpr std::size_t kConnections = 1000;

struct bench_options {
  std::string programs;
  double rate = 400;
  int seconds = 15;
};

// Latencies of one way, in milliseconds.
struct latencies {
  std::vector<double> ms;
  std::uint64_t failed = 0;
};

struct process_use {
  double cpu_seconds = 0;
  double resident_mb = 0;
};

process_use UseOf(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  process_use use;
  std::ifstream stat(folder + "/stat");
  std::string field;
  // Fields 14 and 15 are user and system time in ticks; the name, field 2, has
  // no space in it.
  for (int number = 1; number <= 15 && stat >> field; ++number) {
    if (number >= 14) {
      use.cpu_seconds +=
          std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
  }
  std::ifstream statm(folder + "/statm");
  double pages = 0;
  statm >> pages >> pages;
  use.resident_mb =
      pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  return use;
}

load_plan PlanOf(const bench_options& options,
                 const endpoint& to,
                 bool direct,
                 const std::string& records) {
  return {.daemons = {to},
          .service = "echo",
          .methods = {{.name = "read"}},
          .rate = options.rate,
          .length = std::chrono::seconds(options.seconds),
          .direct = direct,
          .seed = direct ? 1U : 2U,
          .records = records};
}

void Send(const load_plan& plan) {
  boost::asio::io_context io;
  load sending(io, plan);
  sending.Start();
  io.run();
}

// Answers that ran on `vm`; the first second is left out as warming up.
latencies Read(const std::string& records, const std::string& vm) {
  constexpr std::int64_t kWarmUpUs = 1000000;
  latencies result;
  std::int64_t first_us = 0;
  std::ifstream file(records);
  std::string line;
  while (std::getline(file, line)) {
    const Json::Value record = ParseJson(line);
    if (first_us == 0) {
      first_us = record["us"].asInt64();
    }
    if (record["us"].asInt64() < first_us + kWarmUpUs) {
      continue;
    }
    if (record["status"].asInt() != 200) {
      ++result.failed;
    } else if (record["vm"].asString() == vm) {
      result.ms.push_back(record["ms"].asDouble());
    }
  }
  return result;
}

void Print(const std::string& name, const latencies& seen) {
  std::cout << name << ": " << seen.ms.size() << " answers, " << seen.failed
            << " not completed, p50 " << Percentile(seen.ms, 0.5) << " ms, p99 "
            << Percentile(seen.ms, 0.99) << " ms\n";
}

// Resident memory that idle callers' connections take at the entrance.
void MeasureConnections(fleet& running) {
  const pid_t pid = running.daemon(kEntrance).pid();
  const double before = UseOf(pid).resident_mb;
  boost::asio::io_context io;
  const endpoint to = running.CallerOf(kEntrance);
  std::list<boost::asio::ip::tcp::socket> open;
  for (std::size_t i = 0; i < kConnections; ++i) {
    open.emplace_back(io).connect(
        {boost::asio::ip::make_address(to.ip), to.port});
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::cout << "resident memory of a daemon: " << before << " MB, with "
            << kConnections << " more connections " << UseOf(pid).resident_mb
            << " MB\n";
}

std::string WriteDocuments(const std::string& folder) {
  const std::string documents = folder + "/documents";
  std::filesystem::create_directories(documents + "/manifest");
  std::ofstream(documents + "/manifest/echo.json") << kManifest;
  std::ofstream(documents + "/work.json") << kWork;
  return documents;
}

int Run(int argc, char** argv) {
  CLI::App app("Latency that two daemons add to a call, on loopback.");
  bench_options options;
  app.add_option("--programs", options.programs)->required();
  app.add_option("--rate", options.rate, "Calls per second each way");
  app.add_option("--seconds", options.seconds)->check(CLI::Range(3, 120));
  CLI11_PARSE(app, argc, argv);

  std::string folder =
      (std::filesystem::temp_directory_path() / "pw-bench-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("can't make " + folder);
  }
  {
    fleet running({.programs = options.programs,
                   .documents = WriteDocuments(folder),
                   .vms = 2,
                   .folder = folder});
    if (!running.Start()) {
      std::cerr << "the fleet doesn't serve\n";
      return 1;
    }
    Json::Value fixed;
    fixed["methods"]["read"]["distribution"] = "fixed";
    fixed["methods"]["read"]["mean_ms"] = 1;
    running.Configure(kEntrance, fixed);
    running.Configure(kFar, fixed);

    const std::string direct = folder + "/direct";
    const std::string through = folder + "/through";
    const pid_t near_pid = running.daemon(kEntrance).pid();
    const pid_t far_pid = running.daemon(kFar).pid();
    const double cpu_before =
        UseOf(near_pid).cpu_seconds + UseOf(far_pid).cpu_seconds;
    std::thread other([plan = PlanOf(options, running.TargetOf(kFar), true,
                                     direct)] { Send(plan); });
    Send(PlanOf(options, running.CallerOf(kEntrance), false, through));
    other.join();
    const double cpu =
        UseOf(near_pid).cpu_seconds + UseOf(far_pid).cpu_seconds - cpu_before;

    const latencies straight = Read(direct, kFar);
    const latencies one = Read(through, kEntrance);
    const latencies two = Read(through, kFar);
    std::cout << "rate " << options.rate << "/s each way, " << options.seconds
              << " s, service time 1 ms fixed\n";
    Print("direct to the target", straight);
    Print("through one daemon  ", one);
    Print("through two daemons ", two);
    for (const double share : {0.5, 0.99}) {
      std::cout << "added by two daemons at p" << share * 100 << ": "
                << Percentile(two.ms, share) - Percentile(straight.ms, share)
                << " ms\n";
    }
    const double calls = options.rate * options.seconds;
    std::cout << "processor time of both daemons: " << cpu << " s for " << calls
              << " calls, " << calls / cpu << " calls per core and second\n";
    MeasureConnections(running);
  }
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-bench-latency: " << error.what() << '\n';
    return 2;
  }
}
