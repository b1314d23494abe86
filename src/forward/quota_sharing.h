// quota_sharing: exchanges reports on organisation quotas with other daemons.
//
// Owns the quota ledger of this daemon and the choice of its parent. Used on
// its context's thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/ids.h"
#include "include/forward/service_view.h"
#include "include/quota/quota_ledger.h"
#include "include/quota/report_parent.h"
#include "include/route/daemon_order.h"
#include "src/peer/quota_frame.h"

namespace pistachioweir {

struct quota_sharing_options {
  daemon_location self;
  // Fraction by which the operator allows quotas to be exceeded.
  double overage = 0;
};

class quota_sharing {
 public:
  using ledger = quota_ledger<common_level_rule>;
  using sender =
      std::function<void(const std::string& ip, const usage_frame& usage)>;

  quota_sharing(boost::asio::io_context& context,
                const quota_sharing_options& options,
                sender send);

  void Stop();

  // A new view was applied; `order` is that of its daemons.
  void OnView(const service_view& view, const daemon_order& order);
  [[nodiscard]] quota_decision Admit(organisation_id id);
  void Refund(organisation_id id) { ledger_.Refund(id); }
  // A child sent a report. Returns the response.
  [[nodiscard]] quota_report OnUsage(incarnation_id sender,
                                     const usage_report& report);
  // The daemon at `ip` responded to a report.
  void OnQuota(const std::string& ip, const quota_frame& quota);

  [[nodiscard]] const ledger& state() const { return ledger_; }

 private:
  void Report();
  void Arm();

  boost::asio::steady_timer timer_;
  const sender send_;
  ledger ledger_;
  report_parent parent_;
  bool reporting_ = false;
};

}  // namespace pistachioweir
