// pw-load: sends an open-loop load to daemons, or direct to targets, and says
// what the callers saw.
#include <CLI/CLI.hpp>

#include <iostream>
#include <utility>

#include <boost/asio.hpp>

#include "tools/load.h"

namespace pistachioweir::standin {
namespace {

int Run(int argc, char** argv) {
  CLI::App app("Open-loop load on pistachioweir, with a fixed seed.");
  load_plan plan;
  std::vector<std::string> daemons;
  std::string mix;
  std::string resend = "none";
  double length = 10;
  std::vector<double> surge;
  std::int64_t timeout = plan.timeout.count();
  bool json = false;
  app.add_option("--daemons", daemons, "Caller ports as IP:PORT,...")
      ->required()
      ->delimiter(',');
  app.add_option("--service", plan.service)->required();
  app.add_option("--mix", mix, "As sign=0.2:once,look_up=0.8")->required();
  app.add_option("--rate", plan.rate, "Requests per second");
  app.add_option("--seconds", length);
  app.add_option("--surge", surge, "START,END in seconds and a FACTOR")
      ->delimiter(',')
      ->expected(3);
  app.add_option("--timeout-ms", timeout);
  app.add_option("--resend", resend, "none, hard or honour");
  app.add_option("--max-resends", plan.max_resends);
  app.add_flag("--direct", plan.direct, "Speak to targets, not to daemons");
  app.add_option("--seed", plan.seed);
  app.add_option("--run", plan.run, "Prefix of the request ids");
  app.add_option("--records", plan.records, "File of JSON lines");
  app.add_flag("--json", json, "One JSON line in place of the table");
  CLI11_PARSE(app, argc, argv);

  for (const std::string& daemon : daemons) {
    plan.daemons.push_back(ParseEndpoint(daemon));
  }
  const auto policy = kResendPolicyNames.Find(resend);
  if (!policy) {
    throw std::invalid_argument("--resend: " + resend);
  }
  plan.resend = *policy;
  plan.methods = ParseMix(mix);
  plan.timeout = milliseconds(timeout);
  plan.length = milliseconds(static_cast<std::int64_t>(length * 1000));
  if (surge.size() == 3) {
    plan.surge_start = milliseconds(static_cast<std::int64_t>(surge[0] * 1000));
    plan.surge_end = milliseconds(static_cast<std::int64_t>(surge[1] * 1000));
    plan.surge_factor = surge[2];
  }

  boost::asio::io_context io;
  load callers(io, std::move(plan));
  callers.Start();
  io.run();
  std::cout << (json ? ToCompactJson(ToJson(callers.report())) + "\n"
                     : ToTable(callers.report()));
  return 0;
}

}  // namespace
}  // namespace pistachioweir::standin

int main(int argc, char** argv) {
  try {
    return pistachioweir::standin::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "pw-load: " << error.what() << '\n';
    return 1;
  }
}
