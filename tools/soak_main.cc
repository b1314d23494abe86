// pw-soak: rounds of random faults under load, each on a fresh fleet with a
// seed of its own, until the time is over or a promise is broken.
#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>
#include <thread>

#include <boost/asio.hpp>

#include "standin/fault_injector.h"
#include "standin/fleet.h"
#include "standin/record_file.h"
#include "standin/verifier.h"
#include "tools/load.h"

namespace pistachioweir::standin {
namespace {

constexpr milliseconds kRound(60000);
// The pauses and faults before the load's end; what is left lifts them.
constexpr milliseconds kFaults(50000);
constexpr double kRate = 100;

struct soak_options {
  std::string programs;
  std::string documents;
  std::string folder;
  double minutes = 1;
  std::uint64_t seed = 1;
};

load_plan PlanOf(const fleet& running, std::uint64_t seed) {
  return {.daemons = running.CallersOf("contracts"),
          .service = "contracts",
          .methods = {{.name = "sign", .weight = 1, .at_most_once = true},
                      {.name = "look_up", .weight = 2}},
          .rate = kRate,
          .length = kRound,
          .resend = resend_policy::kHard,
          .seed = seed,
          .records = running.told()};
}

verdict Judge(const fleet& ended) {
  verifier checks({});
  checks.ReadRecords(ended.records());
  checks.ReadRecords(ended.told());
  for (const std::string& vm : ended.Vms()) {
    checks.ReadLog(ended.LogOf(vm));
  }
  return checks.Judge();
}

// True if all promises held and the fleet served at the end.
bool RunRound(const soak_options& options, std::uint64_t seed) {
  const std::string folder = options.folder + "/" + std::to_string(seed);
  std::filesystem::remove_all(folder);
  fleet running({.programs = options.programs,
                 .documents = options.documents,
                 .forward = true,
                 .folder = folder});
  if (!running.Start()) {
    std::cout << "seed " << seed << ": the fleet doesn't serve\n";
    return false;
  }
  load_report report;
  std::thread callers([&report, plan = PlanOf(running, seed)] {
    boost::asio::io_context io;
    load sending(io, plan);
    sending.Start();
    io.run();
    report = sending.report();
  });
  fault_injector faults(running, seed);
  const time_point start = monotonic_clock::now();
  while (monotonic_clock::now() < start + kFaults) {
    const std::string fault = faults.Step();
    std::cout << "  "
              << std::chrono::duration_cast<milliseconds>(
                     monotonic_clock::now() - start)
                     .count()
              << " ms: " << fault << std::endl;
    std::this_thread::sleep_for(faults.NextPause());
  }
  faults.LiftAll();
  callers.join();
  const bool serves = running.WaitServing(running.VmsOf("contracts"));
  const verdict result = Judge(running);
  std::cout << "seed " << seed << ": " << ToCompactJson(ToJson(report)["total"])
            << "\n  executions " << result.executions << ", told "
            << result.told << ", completed " << result.completed
            << (serves ? "" : ", doesn't serve at the end") << '\n';
  for (const auto& [name, seen] : result.violations) {
    std::cout << "  BROKEN " << name << ": " << seen.size()
              << ", first: " << seen.front() << '\n';
  }
  return serves && result.ok();
}

int Run(int argc, char** argv) {
  CLI::App app("Random faults under load; checks all promises from records.");
  soak_options options;
  app.add_option("--programs", options.programs)->required();
  app.add_option("--documents", options.documents)->required();
  app.add_option("--folder", options.folder, "Kept: logs and records")
      ->required();
  app.add_option("--minutes", options.minutes);
  app.add_option("--seed", options.seed);
  CLI11_PARSE(app, argc, argv);

  const auto rounds = static_cast<std::uint64_t>(options.minutes + 0.5);
  std::uint64_t failed = 0;
  for (std::uint64_t round = 0; round < std::max<std::uint64_t>(rounds, 1);
       ++round) {
    const std::uint64_t seed = options.seed + round;
    if (!RunRound(options, seed)) {
      ++failed;
      std::cout << "replay: tools/soak --minutes 1 --seed " << seed
                << "   records: " << options.folder << "/" << seed << '\n';
    }
  }
  std::cout << "rounds " << rounds << ", failed " << failed << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-soak: " << error.what() << '\n';
    return 2;
  }
}
