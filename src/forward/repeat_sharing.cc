// Reports of repeats and the grants that answer them.
#include "src/forward/repeat_sharing.h"

#include <utility>

#include "include/base/log.h"
#include "include/base/random_bits.h"

namespace pistachioweir {
namespace {

// Returns a value in [0, 1).
double RandomFraction() {
  constexpr double kRange = 4294967296.0;
  return static_cast<double>(RandomBits32()) / kRange;
}

}  // namespace

repeat_sharing::repeat_sharing(boost::asio::io_context& context,
                               repeat_sharing_options options,
                               repeat_sharing_callbacks callbacks)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      timer_(context),
      parent_({.self = options_.self.ip,
               .data_centre = options_.self.data_centre}) {
  exchange_.SetRoot(true);
}

void repeat_sharing::Stop() {
  timer_.cancel();
}

void repeat_sharing::OnView(const daemon_order& order) {
  // While a whole fleet starts, a daemon that isn't listed yet knows few
  // others, and all of them would report to the first of those.
  if (!options_.enabled || (!reporting_ && !order.Contains(options_.self.ip))) {
    return;
  }
  parent_.SetDaemons(order);
  exchange_.SetDaemons(parent_.daemons());
  if (!std::exchange(reporting_, true)) {
    Report();
  }
}

void repeat_sharing::Report() {
  const time_point now = monotonic_clock::now();
  if (const auto before = parent_.Choose(now)) {
    LogEvent("repeat_reports",
             {{.name = "to", .value = parent_.ip().value_or("nobody")},
              {.name = "before", .value = before->value_or("nobody")},
              {.name = "daemons", .value = std::to_string(parent_.daemons())}});
  }
  exchange_.SetRoot(!parent_.ip());
  exchange_.SetLends(!parent_.ip() || parent_.answered_in_time());
  exchange_.Tick(callbacks_.budgets(), RandomFraction(), now);
  SendReport(now);
  Arm();
}

// Only to a daemon that can take it: another report could follow only when this
// one counts as lost, and by then the parent counts as unresponsive. Without a
// link to the first parent, each was given up in turn.
//
// The report is empty until an earlier one was answered in time over the same
// connection (guard ANSWERED_BEFORE in spec/repeat_lending.pml): the receiver
// takes the first frame of a sender for one that didn't wait, and would stretch
// the tokens in it. Without demand in it, the answer has no tokens either.
void repeat_sharing::SendReport(time_point now) {
  if (!parent_.ip() || !callbacks_.is_ready(*parent_.ip())) {
    return;
  }
  if (const auto number = parent_.Begin(now)) {
    ++counters_.reports;
    callbacks_.send(*parent_.ip(), {.number = *number,
                                    .sent = SendTime(boot_clock::now()),
                                    .entries = parent_.answered_in_time()
                                                   ? exchange_.TakeReport(now)
                                                   : repeat_entries()});
  }
}

void repeat_sharing::Arm() {
  timer_.expires_after(report_parent::kReportInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Report();
    }
  });
}

std::optional<repeat_entries> repeat_sharing::OnReport(
    incarnation_id sender,
    const std::optional<repeat_frame>& report,
    milliseconds transit) {
  if (!options_.enabled) {
    return std::nullopt;
  }
  if (!report) {
    ++counters_.unreadable;
    return std::nullopt;
  }
  return exchange_.OnReport(static_cast<std::uint64_t>(sender), report->entries,
                            transit, monotonic_clock::now());
}

void repeat_sharing::OnGrant(const std::string& ip,
                             const std::optional<repeat_frame>& grant) {
  if (!grant) {
    ++counters_.unreadable;
    return;
  }
  const time_point now = monotonic_clock::now();
  const auto reported_at = parent_.OnResponse(ip, grant->number, now);
  // Guard LATE_GRANT_DROPPED in spec/repeat_lending.pml.
  if (!reported_at || now - *reported_at > report_parent::kResponseTimeout) {
    ++counters_.late_grants;
    return;
  }
  ++counters_.grants;
  exchange_.OnGrant(grant->entries, callbacks_.budgets(), *reported_at, now);
}

}  // namespace pistachioweir
