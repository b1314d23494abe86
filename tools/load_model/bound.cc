// The fluid bound and the summary of a run.
#include "tools/load_model/bound.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace pistachioweir {

namespace {

constexpr double kNearestRoundTrip = 0.0002;
// Demand fits the slots again after the trigger. A step has recovered if this
// share of the requests sent in it is served, and so have the steps after it:
// one good step is chance.
constexpr double kRecovered = 0.95;
constexpr std::size_t kStepsInARow = 5;
constexpr std::size_t kBinsPerStep = milliseconds(100) / kModelBin;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

double SlotsOf(const deployment& where,
               const scenario& what,
               std::size_t service,
               std::uint32_t number,
               duration at) {
  const double slots = where.chain[service].slots;
  if (!InTrigger(what, at)) {
    return slots;
  }
  const duration since = at - what.trigger_start;
  if (what.crashing && since < kRestartTime) {
    return number < 2 ? 0 : slots;
  }
  if (number != 0) {
    return slots;
  }
  const bool gone = what.silent || (what.replaced && since < kRestartTime);
  const bool deepest = service + 1 == where.chain.size();
  return gone ? 0 : slots * (deepest ? 1 - what.missing_slots : 1);
}

double FactorOf(const deployment& where,
                const scenario& what,
                std::size_t service,
                std::uint32_t number,
                duration at) {
  const bool deepest = service + 1 == where.chain.size();
  if (InTrigger(what, at) && deepest && number < what.slow_targets) {
    return what.slow_factor;
  }
  const duration warm = at - what.trigger_start - kRestartTime;
  const bool restarted = (what.replaced && number == 0) ||
                         (what.crashing && deepest && number < 2);
  if (restarted && warm >= duration(0) && warm < kColdTime) {
    return 1 + (kColdFactor - 1) * (1 - Seconds(warm) / Seconds(kColdTime));
  }
  return 1;
}

// Requests of one class, `scale` times as long as usual, that each service
// could finish a second.
std::vector<double> RatesOf(const deployment& where,
                            const scenario& what,
                            double scale,
                            duration at) {
  std::vector<double> rates(where.chain.size());
  double below = 0;
  for (std::size_t service = where.chain.size(); service-- > 0;) {
    double fastest = std::numeric_limits<double>::max();
    for (std::uint32_t i = 0; i < kTargetsPerService; ++i) {
      const double length = service + 1 == where.chain.size() ? scale : 1;
      const double held = Seconds(where.chain[service].own_time) * length *
                              FactorOf(where, what, service, i, at) +
                          below;
      fastest = std::min(fastest, held);
      rates[service] += SlotsOf(where, what, service, i, at) / held;
    }
    below = fastest + kNearestRoundTrip;
  }
  return rates;
}

// Fills what is left of a second, in turn, with each class's demand; the
// service that is full first bounds all.
double Served(const std::vector<std::vector<double>>& rates,
              const std::vector<double>& demand,
              double time) {
  double least = std::numeric_limits<double>::max();
  for (std::size_t service = 0; service < rates[0].size(); ++service) {
    double left = time;
    double served = 0;
    for (std::size_t i = 0; i < demand.size(); ++i) {
      const double taken = std::min(demand[i], left * rates[i][service]);
      served += taken;
      left -= taken / rates[i][service];
    }
    least = std::min(least, served);
  }
  return least;
}

// How long after its first sending a request can still be served.
std::size_t LifetimeInBins(const deployment& where, const scenario& what) {
  constexpr seconds kLongestRetryAfter{2};
  return what.callers == caller_kind::kHonours
             ? kLongestRetryAfter / kModelBin
             : (what.timeout - 2 * where.client_latency) / kModelBin;
}

// Seconds after the bin `last` until goodput is back for good; negative if it
// never is.
double RecoveryOf(const std::vector<model_count>& bins, std::size_t last) {
  std::size_t in_a_row = 0;
  // The end of the run cuts short what was sent last.
  for (std::size_t bin = last; bin + 2 * kBinsPerStep < bins.size();
       bin += kBinsPerStep) {
    double reached = 0;
    double sent = 0;
    for (std::size_t i = bin; i < bin + kBinsPerStep; ++i) {
      reached += static_cast<double>(bins[i].in_deadline);
      sent += static_cast<double>(bins[i].sent);
    }
    in_a_row = reached >= kRecovered * sent ? in_a_row + 1 : 0;
    if (in_a_row == kStepsInARow) {
      const std::size_t start = bin - (kStepsInARow - 1) * kBinsPerStep;
      return Seconds((start - last) * kModelBin);
    }
  }
  return -1;
}

}  // namespace

std::vector<double> BoundPerBin(const deployment& where,
                                const scenario& what,
                                const std::vector<model_count>& bins) {
  double critical = 0;
  for (const model_method& method : where.methods) {
    critical += method.level == priority::kCritical ? method.share : 0;
  }
  std::vector<double> left(bins.size());
  std::vector<double> served(bins.size());
  const std::size_t lifetime = LifetimeInBins(where, what);
  for (std::size_t bin = 0; bin < bins.size(); ++bin) {
    const duration at = bin * kModelBin;
    left[bin] = static_cast<double>(bins[bin].sent);
    const std::size_t oldest = bin > lifetime ? bin - lifetime : 0;
    double waiting = 0;
    for (std::size_t i = oldest; i <= bin; ++i) {
      waiting += left[i];
    }
    const double share = InTrigger(what, at) ? what.long_share : 0;
    const double length = 1 + share * (what.long_factor - 1);
    const std::vector<double> rates = RatesOf(where, what, length, at);
    double total =
        Served({rates, rates}, {waiting * critical, waiting * (1 - critical)},
               Seconds(kModelBin));
    // The oldest first: what waits least long is lost last.
    for (std::size_t i = oldest; i <= bin; ++i) {
      const double taken = std::min(left[i], total);
      left[i] -= taken;
      served[bin] += taken;
      total -= taken;
    }
  }
  return served;
}

run_summary Summarize(const deployment& where,
                      const scenario& what,
                      const model_result& result) {
  run_summary summary;
  const std::vector<double> bound = BoundPerBin(where, what, result.bins);
  const std::size_t first = what.trigger_start / kModelBin;
  const std::size_t last = what.trigger_end / kModelBin;
  double sent = 0;
  double good = 0;
  double answered = 0;
  double possible = 0;
  for (std::size_t bin = first; bin < last; ++bin) {
    sent += static_cast<double>(result.bins[bin].sent);
    good += static_cast<double>(result.bins[bin].in_deadline);
    answered += static_cast<double>(result.bins[bin].answered);
    possible += bound[bin];
  }
  summary.goodput = good / sent;
  summary.possible = answered / possible;
  const model_count& critical =
      result.trigger[static_cast<std::size_t>(priority::kCritical)];
  summary.critical =
      static_cast<double>(critical.in_deadline) /
      static_cast<double>(std::max<std::uint64_t>(1, critical.sent));
  summary.wasted = result.work > 0 ? result.wasted / result.work : 0;

  summary.recovery = RecoveryOf(result.bins, last);
  std::vector<float> latencies = result.latencies;
  std::ranges::sort(latencies);
  if (!latencies.empty()) {
    summary.p50 = latencies[latencies.size() / 2];
    summary.p99 = latencies[latencies.size() * 99 / 100];
  }
  return summary;
}

}  // namespace pistachioweir
