// pw-experiment: compares sets of mechanisms over all scenarios on the load
// model's virtual clock and prints tables in Markdown. tools/experiment calls
// it and draws the plots.
#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "tools/load_model/bound.h"
#include "tools/load_model/model.h"
#include "tools/load_model/scenario.h"

namespace pistachioweir {
namespace {

constexpr duration kShortTrigger = seconds(7);
constexpr duration kShortRun = seconds(11);

struct variant {
  std::string name;
  mechanism_set with;
};

struct job {
  deployment where;
  scenario what;
  variant with;
  model_result result;
  run_summary summary;
};

std::vector<variant> Variants(bool each) {
  std::vector<variant> variants{{"pass-through", {}},
                                {"all", mechanism_set::All()}};
  for (std::size_t i = 0; each && i < kMechanismCount; ++i) {
    const auto which = static_cast<mechanism>(i);
    variant alone{std::string("only ").append(kMechanismNames.Name(which)), {}};
    alone.with.Set(which, true);
    variants.push_back(alone);
  }
  for (std::size_t i = 0; each && i < kMechanismCount; ++i) {
    const auto which = static_cast<mechanism>(i);
    variant without{std::string("all but ").append(kMechanismNames.Name(which)),
                    mechanism_set::All()};
    without.with.Set(which, false);
    variants.push_back(without);
  }
  return variants;
}

void RunAll(std::vector<job>& jobs, std::uint64_t seed, unsigned threads) {
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < jobs.size(); i = next++) {
      job& each = jobs[i];
      load_model model(each.where, each.what, each.with.with, seed);
      each.result = model.Run();
      each.summary = Summarize(each.where, each.what, each.result);
      each.result.latencies.clear();
      std::fprintf(stderr, "%zu of %zu\r", i + 1, jobs.size());
    }
  };
  std::vector<std::thread> pool;
  for (unsigned i = 0; i < threads; ++i) {
    pool.emplace_back(work);
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
}

std::string Recovery(double recovery) {
  if (recovery < 0) {
    return "never";
  }
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.1f", recovery);
  return text.data();
}

void PrintDetails(const std::vector<job>& jobs) {
  std::printf(
      "| deployment | scenario | variant | in deadline | of the possible | "
      "critical in deadline | recovery s | work wasted | p50 ms | p99 ms | "
      "executions a request, most | retries a request, most | critical "
      "refused | before lower ones | crashes |\n"
      "|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const job& each : jobs) {
    const run_summary& s = each.summary;
    std::printf(
        "| %s/%zu | %s | %s | %.3f | %.3f | %.3f | %s | %.3f | %.0f | %.0f | "
        "%u | %u | %llu | %llu | %llu |\n",
        each.where.name.c_str(), each.where.chain.size(),
        each.what.name.c_str(), each.with.name.c_str(), s.goodput, s.possible,
        s.critical, Recovery(s.recovery).c_str(), s.wasted, s.p50 * 1e3,
        s.p99 * 1e3, each.result.most_executions, each.result.most_retries,
        static_cast<unsigned long long>(each.result.critical_refused),
        static_cast<unsigned long long>(each.result.critical_refused_early),
        static_cast<unsigned long long>(each.result.crashes));
  }
}

// One table a deployment: a row for each variant, a column for each scenario.
void PrintMatrix(const std::vector<job>& jobs,
                 std::size_t variants,
                 std::size_t scenarios) {
  const std::size_t block = variants * scenarios;
  for (std::size_t start = 0; start + block <= jobs.size(); start += block) {
    std::printf("\n%s, chain of %zu: share of the possible, recovery in s\n\n",
                jobs[start].where.name.c_str(), jobs[start].where.chain.size());
    std::printf("| variant |");
    for (std::size_t i = start; i < start + block; i += variants) {
      std::printf(" %s |", jobs[i].what.name.c_str());
    }
    std::printf("\n|---|");
    for (std::size_t i = 0; i < scenarios; ++i) {
      std::printf("--:|");
    }
    for (std::size_t row = 0; row < variants; ++row) {
      std::printf("\n| %s |", jobs[start + row].with.name.c_str());
      for (std::size_t i = start + row; i < start + block; i += variants) {
        const run_summary& s = jobs[i].summary;
        std::printf(" %.2f, %s |", s.possible, Recovery(s.recovery).c_str());
      }
    }
    std::printf("\n");
  }
}

void WriteSeries(const std::vector<job>& jobs, const std::string& folder) {
  for (const job& each : jobs) {
    if (each.with.name != "all" && each.with.name != "pass-through") {
      continue;
    }
    std::string name = folder;
    name.append("/").append(each.where.name);
    name.append("-").append(std::to_string(each.where.chain.size()));
    name.append("-").append(each.what.name);
    name.append("-").append(each.with.name).append(".dat");
    std::ofstream out(name);
    const auto bound = BoundPerBin(each.where, each.what, each.result.bins);
    for (std::size_t i = 0; i + 1 < each.result.bins.size(); ++i) {
      const auto& bin = each.result.bins[i];
      const double bin_length =
          std::chrono::duration<double>(kModelBin).count();
      out << static_cast<double>(i) * bin_length << ' '
          << static_cast<double>(bin.sent) / bin_length << ' '
          << static_cast<double>(bin.answered) / bin_length << ' '
          << bound[i] / bin_length << '\n';
    }
  }
}

int Main(int argc, char** argv) {
  CLI::App app("Compares mechanisms over scenarios on a virtual clock.");
  std::uint64_t seed = 20261202;
  unsigned threads = 3;
  bool each = false;
  std::string only;
  std::string folder;
  std::vector<std::uint32_t> depths{1, 3, 11};
  app.add_option("--seed", seed, "Seed of demand and decisions");
  app.add_option("--threads", threads, "Runs at a time");
  app.add_flag("--each", each, "Also each mechanism alone, and all but one");
  app.add_option("--scenario", only, "Only this scenario");
  app.add_option("--depth", depths, "Lengths of the chain");
  app.add_option("--series", folder, "Folder for goodput over time");
  bool brief = false;
  app.add_flag("--short", brief, "Saturation for 5 s in place of a minute");
  CLI11_PARSE(app, argc, argv);

  std::vector<job> jobs;
  for (const std::uint32_t depth : depths) {
    for (const deployment& where : Deployments(depth)) {
      for (scenario what : Scenarios()) {
        if (brief) {
          what.trigger_end = std::min(what.trigger_end, kShortTrigger);
          what.end = std::min(what.end, kShortRun);
        }
        for (const variant& with : Variants(each)) {
          if (only.empty() || only == what.name) {
            jobs.push_back({.where = where, .what = what, .with = with});
          }
        }
      }
    }
  }
  RunAll(jobs, seed, threads);
  std::printf("seed %llu\n\n", static_cast<unsigned long long>(seed));
  if (each) {
    PrintMatrix(jobs, Variants(each).size(),
                only.empty() ? Scenarios().size() : 1);
  } else {
    PrintDetails(jobs);
  }
  if (!folder.empty()) {
    WriteSeries(jobs, folder);
  }
  return 0;
}

}  // namespace
}  // namespace pistachioweir

int main(int argc, char** argv) {
  return pistachioweir::Main(argc, argv);
}
