// Reports on quota usage and the responses to them.
#include "src/forward/quota_sharing.h"

#include <utility>
#include <vector>

#include "include/base/log.h"
#include "include/base/random_bits.h"

namespace pistachioweir {
namespace {

// Fraction of the allowed overage that network partitions use together; the
// rest covers reports in transit.
constexpr double kPartitionOverageFraction = 0.5;

// Returns a value in [0, 1).
double RandomFraction() {
  constexpr double kRange = 4294967296.0;
  return static_cast<double>(RandomBits32()) / kRange;
}

}  // namespace

quota_sharing::quota_sharing(boost::asio::io_context& context,
                             const quota_sharing_options& options,
                             sender send)
    : timer_(context),
      send_(std::move(send)),
      ledger_({.overage = options.overage * kPartitionOverageFraction}),
      parent_(
          {.self = options.self.ip, .data_centre = options.self.data_centre}) {}

void quota_sharing::Stop() {
  timer_.cancel();
}

void quota_sharing::OnView(const service_view& view,
                           const daemon_order& order) {
  if (view.config == nullptr || view.config->organisations == nullptr) {
    return;
  }
  parent_.SetDaemons(order);
  ledger_.SetDaemons(parent_.daemons());
  ledger_.Configure(*view.config->organisations, monotonic_clock::now());
  if (!ledger_.empty() && !std::exchange(reporting_, true)) {
    Report();
  }
}

quota_decision quota_sharing::Admit(organisation_id id) {
  return ledger_.Admit(id, RandomFraction(), monotonic_clock::now());
}

void quota_sharing::Report() {
  const time_point now = monotonic_clock::now();
  if (const auto before = parent_.Choose(now)) {
    LogEvent("quota_reports",
             {{.name = "to", .value = parent_.ip().value_or("nobody")},
              {.name = "before", .value = before->value_or("nobody")},
              {.name = "in_touch",
               .value = std::to_string(ledger_.ReachableDaemons(now))},
              {.name = "daemons", .value = std::to_string(parent_.daemons())}});
  }
  ledger_.SetRoot(!parent_.ip());
  ledger_.Tick(now);
  // Unacknowledged counts are sent again, so a further report before the
  // response would count them twice.
  if (const auto number = parent_.Begin(now)) {
    send_(*parent_.ip(),
          {.number = *number, .report = ledger_.TakeReport(now)});
  }
  Arm();
}

void quota_sharing::Arm() {
  timer_.expires_after(report_parent::kReportInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Report();
    }
  });
}

quota_report quota_sharing::OnUsage(incarnation_id sender,
                                    const usage_report& report) {
  const time_point now = monotonic_clock::now();
  ledger_.OnUsage(static_cast<std::uint64_t>(sender), report, now);
  return ledger_.Quota(now);
}

void quota_sharing::OnQuota(const std::string& ip, const quota_frame& quota) {
  const time_point now = monotonic_clock::now();
  // Only the last report, which included all earlier counts.
  if (parent_.OnResponse(ip, quota.number, now)) {
    ledger_.OnQuota(quota.report, now);
  }
}

}  // namespace pistachioweir
