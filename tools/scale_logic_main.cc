// pw-scale-logic: how the spreading of news grows with the fleet's size, by the
// protocol objects themselves on a virtual clock.
#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "tools/gossip_fleet.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kStep{100};
constexpr milliseconds kSettle{60000};

struct fleet_shape {
  std::size_t nodes = 14000;
  std::uint64_t seed = 1;
  double loss = 0;
  bool newcomer_rule = true;
};

gossip_fleet_options OptionsFor(const fleet_shape& shape) {
  // The design's proportions: 14,000 daemons, 760 services, 6 regions, 22
  // data centres. Small fleets keep about 18 daemons a service.
  const std::size_t services =
      std::max<std::size_t>(shape.nodes * 760 / 14000, 2);
  const std::size_t regions = shape.nodes >= 1000 ? 6 : 2;
  return {.nodes = shape.nodes,
          .services = services,
          .regions = regions,
          .data_centres = regions * 11 / 3,
          .seed = shape.seed,
          .newcomer_rule = shape.newcomer_rule};
}

// Share of the ready daemons, in time: when each first satisfied a condition.
struct spread {
  std::vector<double> seconds;
  std::size_t missing = 0;

  [[nodiscard]] double At(double quantile) const {
    if (seconds.empty()) {
      return -1;
    }
    std::vector<double> sorted = seconds;
    std::ranges::sort(sorted);
    return sorted[static_cast<std::size_t>(
        quantile * static_cast<double>(sorted.size() - 1))];
  }
};

template <typename Holds>
spread Measure(gossip_fleet& fleet,
               const std::vector<std::size_t>& nodes,
               milliseconds limit,
               Holds holds) {
  spread result;
  const time_point start = fleet.now();
  std::vector<std::size_t> open = nodes;
  while (!open.empty() && fleet.now() - start < limit) {
    fleet.RunFor(kStep);
    const std::chrono::duration<double> passed = fleet.now() - start;
    std::erase_if(open, [&](std::size_t node) {
      if (!holds(node)) {
        return false;
      }
      result.seconds.push_back(passed.count());
      return true;
    });
  }
  result.missing = open.size();
  return result;
}

std::vector<std::size_t> UpNodes(const gossip_fleet& fleet) {
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.IsUp(i)) {
      nodes.push_back(i);
    }
  }
  return nodes;
}

void Print(const char* scenario,
           const fleet_shape& shape,
           const spread& times) {
  std::printf(
      "%-22s n=%-6zu loss=%.2f  p50 %.1f s  p99 %.1f s  max %.1f s  "
      "not reached %zu of %zu\n",
      scenario, shape.nodes, shape.loss, times.At(0.5), times.At(0.99),
      times.At(1), times.missing, times.seconds.size() + times.missing);
  std::fflush(stdout);
}

// Rates over a span, a daemon.
void PrintRates(const char* scenario,
                const fleet_shape& shape,
                const gossip_fleet_counters& before,
                const gossip_fleet_counters& after,
                double span) {
  const double each = span * static_cast<double>(shape.nodes);
  const auto delta = [](std::uint64_t a, std::uint64_t b) {
    return static_cast<double>(b - a);
  };
  std::printf(
      "%-22s n=%-6zu loss=%.2f  sent a daemon: %.0f B/s, %.1f datagrams/s, "
      "%.1f%% of bytes between regions; platform %.0f reads/s\n",
      scenario, shape.nodes, shape.loss,
      delta(before.bytes, after.bytes) / each,
      delta(before.datagrams, after.datagrams) / each,
      100 * delta(before.region_bytes, after.region_bytes) /
          std::max(1.0, delta(before.bytes, after.bytes)),
      delta(before.platform_reads, after.platform_reads) / span);
  std::fflush(stdout);
}

void MeasureChange(gossip_fleet& fleet,
                   const fleet_shape& shape,
                   const char* scenario) {
  const std::size_t service = 0;
  const std::uint64_t version = fleet.PublishManifest(service);
  std::vector<std::size_t> wanting;
  for (const std::size_t node : UpNodes(fleet)) {
    if (fleet.Wants(node, service)) {
      wanting.push_back(node);
    }
  }
  std::set<std::size_t> known;
  const time_point start = fleet.now();
  spread heard;
  const spread in_force =
      Measure(fleet, UpNodes(fleet), seconds(60), [&](std::size_t node) {
        if (fleet.KnownVersion(node, service) < version) {
          return false;
        }
        if (known.insert(node).second) {
          const std::chrono::duration<double> passed = fleet.now() - start;
          heard.seconds.push_back(passed.count());
        }
        return !fleet.Wants(node, service) ||
               fleet.VersionInForce(node, service) >= version;
      });
  heard.missing = UpNodes(fleet).size() - heard.seconds.size();
  Print((std::string(scenario) + ": heard").c_str(), shape, heard);
  Print((std::string(scenario) + ": in force").c_str(), shape, in_force);
}

void RunScenarios(const fleet_shape& shape) {
  gossip_fleet fleet(OptionsFor(shape));
  const spread ready =
      Measure(fleet, UpNodes(fleet), seconds(120),
              [&](std::size_t node) { return fleet.IsReady(node); });
  Print("cold start: ready", shape, ready);
  std::printf(
      "%-22s n=%-6zu most platform reads in a second: %llu\n", "cold start",
      shape.nodes,
      static_cast<unsigned long long>(fleet.counters().max_reads_in_second));
  fleet.SetLoss(shape.loss);
  fleet.RunFor(seconds(30));

  gossip_fleet_counters before = fleet.counters();
  fleet.RunFor(seconds(20));
  PrintRates("idle", shape, before, fleet.counters(), 20);

  MeasureChange(fleet, shape, "change");

  before = fleet.counters();
  for (std::size_t i = 0; i < 100; ++i) {
    fleet.PublishManifest(i * 7 % OptionsFor(shape).services);
    fleet.RunFor(milliseconds(100));
  }
  PrintRates("10 changes a second", shape, before, fleet.counters(), 10);

  // A planned stop, then a crash, as their callers and peers see it.
  fleet.RunFor(seconds(10));
  const auto believes = [&](std::size_t other, member_state state) {
    std::vector<std::size_t> followers;
    for (const std::size_t node : UpNodes(fleet)) {
      if (node != other && fleet.Believes(node, other)) {
        followers.push_back(node);
      }
    }
    return Measure(fleet, followers, seconds(60), [&](std::size_t node) {
      const auto believed = fleet.Believes(node, other);
      return !believed || *believed >= state;
    });
  };
  fleet.Leave(1);
  Print("leaving: known", shape, believes(1, member_state::kLeaving));
  fleet.Kill(2);
  Print("killed: known", shape, believes(2, member_state::kDead));

  // The platform is down: a version that one daemon read before still spreads.
  fleet.SetPlatformUp(false);
  fleet.RunFor(seconds(30));
  before = fleet.counters();
  fleet.RunFor(seconds(20));
  PrintRates("platform down", shape, before, fleet.counters(), 20);
  const std::uint64_t told = fleet.PublishManifest(1);
  fleet.TellOf(3, 1, told);
  Print("platform down: heard", shape,
        Measure(fleet, UpNodes(fleet), seconds(60), [&](std::size_t node) {
          return fleet.KnownVersion(node, 1) >= told;
        }));
  fleet.SetPlatformUp(true);
  fleet.RunFor(seconds(30));

  // A third restarts at once.
  std::vector<std::size_t> restarted;
  for (std::size_t i = 0; i < fleet.size(); i += 3) {
    fleet.Kill(i);
    fleet.Restart(i);
    restarted.push_back(i);
  }
  before = fleet.counters();
  Print("a third restarted", shape,
        Measure(fleet, restarted, seconds(60),
                [&](std::size_t node) { return fleet.IsReady(node); }));
  fleet.RunFor(seconds(20));

  // One region is cut off; a change on the larger side; then it heals.
  fleet.SetCut([&](std::size_t a, std::size_t b) {
    return (fleet.RegionOf(a) == 0) != (fleet.RegionOf(b) == 0);
  });
  fleet.RunFor(seconds(60));
  fleet.SetPlatformStale(true);
  const std::uint64_t cut_version = fleet.PublishManifest(0);
  std::size_t teller = 0;
  while (fleet.RegionOf(teller) == 0 || !fleet.IsReady(teller)) {
    ++teller;
  }
  fleet.TellOf(teller, 0, cut_version);
  fleet.RunFor(seconds(30));
  fleet.SetCut(nullptr);
  Print("partition heals", shape,
        Measure(fleet, UpNodes(fleet), seconds(120), [&](std::size_t node) {
          return fleet.KnownVersion(node, 0) >= cut_version;
        }));
}

// A stale platform and restarts: how often is an older manifest in force?
void RunNewcomers(fleet_shape shape) {
  for (const bool rule : {false, true}) {
    shape.newcomer_rule = rule;
    gossip_fleet fleet(OptionsFor(shape));
    fleet.RunFor(kSettle);
    fleet.SetLoss(shape.loss);
    fleet.SetPlatformStale(true);
    const std::size_t services = OptionsFor(shape).services;
    std::vector<std::uint64_t> newest(services, 1);
    for (std::size_t service = 0; service < services; ++service) {
      newest[service] = fleet.PublishManifest(service);
      fleet.TellOf(service, service, newest[service]);
    }
    fleet.RunFor(seconds(20));
    std::vector<std::size_t> restarted;
    for (std::size_t i = 0; i < fleet.size(); i += 3) {
      fleet.Kill(i);
      fleet.Restart(i);
      restarted.push_back(i);
    }
    std::set<std::size_t> older;
    std::set<std::size_t> older_now;
    double older_seconds = 0;
    const spread ready =
        Measure(fleet, restarted, seconds(60), [&](std::size_t node) {
          const std::size_t own = fleet.ServiceOf(node);
          const bool behind = fleet.IsReady(node) &&
                              fleet.VersionInForce(node, own) < newest[own];
          if (behind) {
            older.insert(node);
            older_seconds += 0.1;
          }
          return fleet.IsReady(node) && !behind;
        });
    std::printf(
        "newcomers, rule %-3s     n=%-6zu loss=%.2f  restarted %zu, "
        "acted on an older manifest: %zu, for %.2f s each\n",
        rule ? "on" : "off", shape.nodes, shape.loss, restarted.size(),
        older.size(),
        older.empty() ? 0 : older_seconds / static_cast<double>(older.size()));
    Print(rule ? "ready, rule on" : "ready, rule off", shape, ready);
  }
}

}  // namespace
}  // namespace pistachioweir

int main(int argc, char** argv) {
  CLI::App app{"Measures the spreading logic on a virtual clock."};
  std::vector<std::size_t> sizes = {100, 1000, 14000};
  std::vector<double> losses = {0, 0.1};
  std::uint64_t seed = 1;
  std::string part = "all";
  app.add_option("--nodes", sizes, "Sizes of the fleet");
  app.add_option("--loss", losses, "Shares of datagrams lost");
  app.add_option("--seed", seed, "Seed of all random numbers");
  app.add_option("--part", part, "all, spread or newcomers");
  CLI11_PARSE(app, argc, argv);
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  for (const std::size_t nodes : sizes) {
    for (const double loss : losses) {
      const pistachioweir::fleet_shape shape = {
          .nodes = nodes, .seed = seed, .loss = loss};
      if (part != "newcomers") {
        pistachioweir::RunScenarios(shape);
      }
      if (part != "spread") {
        pistachioweir::RunNewcomers(shape);
      }
    }
  }
  return 0;
}
