// pw-demo: a chain three services deep with three VMs each, as processes on
// this machine, under mixed load while one target slows down and one VM is
// replaced. Says what the callers saw and what the daemons decided.
#include <CLI/CLI.hpp>

#include <csignal>

#include <fstream>
#include <iostream>
#include <map>
#include <thread>

#include <boost/asio.hpp>

#include "standin/fleet.h"
#include "standin/record_file.h"
#include "standin/verifier.h"
#include "tools/load.h"

namespace pistachioweir::standin {
namespace {

constexpr char kEntrance[] = "contracts";
constexpr char kSlowTarget[] = "lease-terms-1";
constexpr char kReplacedVm[] = "contracts-2";
constexpr double kSlowDown = 8;
constexpr milliseconds kStopLimit(40000);

struct demo_options {
  std::string programs;
  std::string documents;
  double rate = 150;
  int seconds = 20;
  bool json = false;
};

void Progress(const std::string& line) {
  std::cerr << "  " << line << std::endl;
}

void SlowDown(fleet& running, double factor) {
  Json::Value change;
  change["slow_down"] = factor;
  running.Configure(kSlowTarget, change);
}

// As the platform does it: publish, wait until nothing new comes, stop, remove.
void Replace(fleet& running) {
  running.Publish(kReplacedVm, live_state::kLeaving);
  const std::string added = running.AddVm(kEntrance);
  Progress(std::string(kReplacedVm) + " leaves, " + added + " takes its place");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  running.daemon(kReplacedVm).Signal(SIGTERM);
  const auto status = running.daemon(kReplacedVm).Wait(kStopLimit);
  Progress(std::string(kReplacedVm) +
           (status == 0 ? " has stopped" : " did not stop cleanly"));
  running.target(kReplacedVm).Kill();
  running.Publish(kReplacedVm, live_state::kGone);
}

// Changes of state by name, over the logs of all daemons.
std::map<std::string, int> CountEvents(const fleet& ended) {
  constexpr std::string_view kField = "event=";
  std::map<std::string, int> events;
  for (const std::string& vm : ended.Vms()) {
    std::ifstream log(ended.LogOf(vm));
    std::string line;
    while (std::getline(log, line)) {
      const std::size_t at = line.find(kField);
      if (at != std::string::npos) {
        const std::size_t start = at + kField.size();
        ++events[line.substr(start, line.find(' ', start) - start)];
      }
    }
  }
  return events;
}

Json::Value Summary(const load_report& report, const verdict& judged) {
  Json::Value summary = ToJson(report)["total"];
  summary.removeMember("goodput");
  summary.removeMember("reasons");
  summary["duplicated"] = static_cast<Json::UInt64>(judged.CountOf(kDoubled));
  for (const auto& [name, seen] : judged.violations) {
    summary["broken"][name] = static_cast<Json::UInt64>(seen.size());
  }
  return summary;
}

void PrintForPeople(const load_report& report,
                    const verdict& judged,
                    const std::map<std::string, int>& events) {
  std::cout << '\n'
            << ToTable(report)
            << "\nSignatures that ran twice: " << judged.CountOf(kDoubled)
            << "\nRequests that ran though their caller was told they did not: "
            << judged.CountOf(kRanUntold)
            << "\nAnswers cut or of another request: "
            << judged.CountOf(kWrongAnswer)
            << "\n\nWhat the daemons decided (changes of state):\n";
  for (const auto& [name, count] : events) {
    std::cout << "  " << name << ": " << count << '\n';
  }
}

int Run(int argc, char** argv) {
  CLI::App app("A chain of services under load, with two failures.");
  demo_options options;
  app.add_option("--programs", options.programs)->required();
  app.add_option("--documents", options.documents)->required();
  app.add_option("--rate", options.rate, "Requests per second");
  app.add_option("--seconds", options.seconds, "Length of the load")
      ->check(CLI::Range(10, 120));
  app.add_flag("--json", options.json, "End with one JSON line");
  CLI11_PARSE(app, argc, argv);

  Progress("starting a platform, nine targets and nine daemons");
  fleet running({.programs = options.programs, .documents = options.documents});
  if (!running.Start()) {
    std::cerr << "the fleet doesn't serve\n";
    return 1;
  }
  Progress("all daemons serve; " + std::to_string(options.seconds) +
           " s of load, a third of it signatures");
  load_report report;
  std::thread callers(
      [&report,
       plan = load_plan{.daemons = running.CallersOf(kEntrance),
                        .service = kEntrance,
                        .methods = {{.name = "sign", .at_most_once = true},
                                    {.name = "look_up", .weight = 2}},
                        .rate = options.rate,
                        .length = std::chrono::seconds(options.seconds),
                        .resend = resend_policy::kHonour,
                        .records = running.told()}] {
        boost::asio::io_context io;
        load sending(io, plan);
        sending.Start();
        io.run();
        report = sending.report();
      });
  const auto quarter = milliseconds(options.seconds * 1000 / 4);
  std::this_thread::sleep_for(quarter);
  SlowDown(running, kSlowDown);
  Progress(std::string(kSlowTarget) + " becomes eight times slower");
  std::this_thread::sleep_for(quarter);
  Replace(running);
  SlowDown(running, 1);
  Progress(std::string(kSlowTarget) + " is as fast as before");
  callers.join();

  verifier checks({});
  checks.ReadRecords(running.records());
  checks.ReadRecords(running.told());
  const verdict judged = checks.Judge();
  PrintForPeople(report, judged, CountEvents(running));
  if (options.json) {
    std::cout << ToCompactJson(Summary(report, judged)) << std::endl;
  }
  return judged.ok() ? 0 : 1;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-demo: " << error.what() << '\n';
    return 2;
  }
}
