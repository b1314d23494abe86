// Fleets and loads of process tests.
#include "tests/support/process_test.h"

#include <utility>

#include <boost/asio.hpp>

#include "tools/load.h"

namespace pistachioweir {
namespace {

constexpr double kRate = 60;
constexpr milliseconds kPollInterval(50);

}  // namespace

background_load::background_load(const standin::load_plan& plan)
    : thread_([this, plan] {
        boost::asio::io_context io;
        standin::load callers(io, plan);
        callers.Start();
        io.run();
        report_ = callers.report();
      }) {}

background_load::~background_load() {
  Wait();
}

const standin::load_report& background_load::Wait() {
  if (thread_.joinable()) {
    thread_.join();
  }
  return report_;
}

void process_test::StartFleet(bool forward) {
  fleet_ = std::make_unique<standin::fleet>(
      standin::fleet_plan{.programs = PW_BINARY_DIR,
                          .documents = PW_SOURCE_DIR "/examples/demo",
                          .forward = forward});
  ASSERT_TRUE(fleet_->Start()) << "the fleet doesn't serve";
}

standin::load_plan process_test::Plan(milliseconds length) {
  return {.daemons = fleet_->CallersOf("contracts"),
          .service = "contracts",
          .methods = {{.name = "sign", .weight = 1, .at_most_once = true},
                      {.name = "look_up", .weight = 2}},
          .rate = kRate,
          .length = length,
          .resend = standin::resend_policy::kHonour,
          .run = "load" + std::to_string(++loads_) + "-",
          .records = fleet_->told()};
}

bool process_test::Eventually(const std::function<bool()>& condition,
                              milliseconds limit) {
  const time_point end = monotonic_clock::now() + limit;
  while (!condition()) {
    if (monotonic_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void process_test::ExpectPromises() const {
  standin::verifier checks({});
  checks.ReadRecords(fleet_->records());
  checks.ReadRecords(fleet_->told());
  for (const std::string& vm : fleet_->Vms()) {
    checks.ReadLog(fleet_->LogOf(vm));
  }
  const standin::verdict result = checks.Judge();
  EXPECT_GT(result.completed, 0U) << "nothing was completed, nothing is proved";
  for (const auto& [name, seen] : result.violations) {
    ADD_FAILURE() << name << ", " << seen.size()
                  << " times, first: " << seen.front();
  }
}

std::uint64_t Sent(const standin::load_report& report) {
  std::uint64_t sum = 0;
  for (const auto& [name, method] : report) {
    sum += method.sent;
  }
  return sum;
}

std::uint64_t InDeadline(const standin::load_report& report) {
  std::uint64_t sum = 0;
  for (const auto& [name, method] : report) {
    sum += method.in_deadline;
  }
  return sum;
}

}  // namespace pistachioweir
