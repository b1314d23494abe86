// Plays surges, cuts and restarts against each way of keeping quotas, and
// prints what it refuses falsely and how far it exceeds the limit.
#include <cstdio>
#include <string>

#include "tools/quota_fleet.h"

namespace pistachioweir {
namespace {

struct figures {
  double false_refusals = 0;  // Part, at 0.9 of the rate.
  double one_sided = 0;       // Likewise, a tenth of the daemons carry it all.
  double use = 0;             // Of the rate, at 8 times the usual demand.
  // Most of a window against what is allowed in one.
  double surge = 0;
  double cut = 0;       // A third is cut off in the surge.
  double isolated = 0;  // A third of the daemons are cut off one by one.
  double restart = 0;   // All start anew in the surge.
};

constexpr milliseconds kWindow{5000};
constexpr double kWindowSeconds = 5;
constexpr double kUsual = 0.62;  // Of the rate.

template <quota_rule Rule>
double Exceeds(quota_fleet<Rule>& fleet, const quota_fleet_options& options) {
  // With a quarter more, and 20 requests.
  const double allowed =
      (options.rate * kWindowSeconds + options.burst) * 1.25 + 20;
  return static_cast<double>(fleet.MostWithin(kWindow)) / allowed;
}

template <quota_rule Rule>
double FalseRefusals(quota_fleet_options options, double spread) {
  options.spread = spread;
  quota_fleet<Rule> fleet(options);
  fleet.Run(seconds(6), kUsual * options.rate);
  fleet.ClearCounts();
  fleet.Run(seconds(60), 0.9 * options.rate);
  return fleet.falsely_refused();
}

template <quota_rule Rule>
double Surge(const quota_fleet_options& options,
             const std::function<void(quota_fleet<Rule>&)>& trouble,
             double* use = nullptr) {
  quota_fleet<Rule> fleet(options);
  fleet.Run(seconds(6), kUsual * options.rate);
  fleet.Run(seconds(3), 8 * kUsual * options.rate);
  if (trouble) {
    trouble(fleet);
  }
  fleet.Run(seconds(8), 8 * kUsual * options.rate);
  const double exceeds = Exceeds(fleet, options);
  if (use != nullptr) {
    fleet.ClearCounts();
    fleet.Run(seconds(8), 8 * kUsual * options.rate);
    *use = static_cast<double>(fleet.admitted()) / (8 * options.rate);
  }
  return exceeds;
}

template <quota_rule Rule>
void Print(const std::string& name, const quota_fleet_options& options) {
  figures got;
  got.false_refusals = FalseRefusals<Rule>(options, 1);
  got.one_sided = FalseRefusals<Rule>(options, 0.1);
  got.surge = Surge<Rule>(options, nullptr, &got.use);
  got.cut = Surge<Rule>(options, [](auto& fleet) { fleet.Cut(1.0 / 3); });
  got.isolated =
      Surge<Rule>(options, [](auto& fleet) { fleet.Isolate(1.0 / 3); });
  got.restart = Surge<Rule>(options, [](auto& fleet) { fleet.RestartAll(); });
  std::printf(
      "%-13s %6zu %5.0f %5.2f %8.4f %8.4f %6.2f %6.2f %6.2f %8.2f %7.2f\n",
      name.c_str(), options.daemons, options.rate, options.loss,
      got.false_refusals, got.one_sided, got.use, got.surge, got.cut,
      got.isolated, got.restart);
  std::fflush(stdout);
}

void PrintAll(const quota_fleet_options& options) {
  Print<equal_share_rule>("equal_share", options);
  Print<demand_share_rule>("demand_share", options);
  Print<common_level_rule>("common_level", options);
}

}  // namespace
}  // namespace pistachioweir

int main(int argc, char** argv) {
  using pistachioweir::PrintAll;
  std::printf(
      "way           daemons  rate  loss  refused one_side    use  surge    "
      "cut "
      "isolated restart\n");
  for (const double rate : {20.0, 400.0}) {
    PrintAll({.daemons = 10, .rate = rate, .burst = rate});
    PrintAll({.daemons = 60, .rate = rate, .burst = rate});
    PrintAll({.daemons = 60, .rate = rate, .burst = rate, .loss = 0.1});
    PrintAll({.daemons = 300, .rate = rate, .burst = rate});
  }
  const bool whole = argc > 1 && std::string(argv[1]) == "--large";
  if (whole) {
    PrintAll({.daemons = 14000, .rate = 4000, .burst = 4000});
  }
  return 0;
}
