// repeat_sharing: exchanges tokens of the repeat budget with other daemons.
//
// Owns the exchange of this daemon and the choice of its parent. Used on its
// context's thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/ids.h"
#include "include/forward/service_view.h"
#include "include/quota/report_parent.h"
#include "include/retry/repeat_exchange.h"
#include "include/route/daemon_order.h"
#include "src/peer/repeat_frame.h"

namespace pistachioweir {

struct repeat_sharing_options {
  daemon_location self;
  bool enabled = false;  // Otherwise nothing is sent or answered.
};

struct repeat_sharing_callbacks {
  // Whether the daemon at `ip` is connected and reads reports. If not, it is
  // connected to.
  std::function<bool(const std::string& ip)> is_ready;
  std::function<void(const std::string& ip, const repeat_frame& report)> send;
  // The budgets of this daemon.
  std::function<std::vector<own_repeat_budget>()> budgets;
};

struct repeat_sharing_counters {
  std::uint64_t reports = 0;
  std::uint64_t grants = 0;
  std::uint64_t late_grants = 0;  // Dropped with their tokens.
  std::uint64_t unreadable = 0;   // Reports and grants.
};

class repeat_sharing {
 public:
  repeat_sharing(boost::asio::io_context& context,
                 repeat_sharing_options options,
                 repeat_sharing_callbacks callbacks);

  void Stop();

  // A new view was applied, with these daemons.
  void OnView(const daemon_order& order);
  // A child sent a report, which waited for `transit`. Returns the grant.
  [[nodiscard]] std::optional<repeat_entries> OnReport(
      incarnation_id sender,
      const std::optional<repeat_frame>& report,
      milliseconds transit);
  // There is a new connection to the daemon at `ip`.
  void OnConnected(const std::string& ip) { parent_.OnConnected(ip); }
  // The daemon at `ip` answered a report.
  void OnGrant(const std::string& ip, const std::optional<repeat_frame>& grant);

  [[nodiscard]] const repeat_sharing_counters& counters() const {
    return counters_;
  }

 private:
  void Report();
  void SendReport(time_point now);
  void Arm();

  const repeat_sharing_options options_;
  const repeat_sharing_callbacks callbacks_;
  boost::asio::steady_timer timer_;
  report_parent parent_;
  repeat_exchange exchange_;
  repeat_sharing_counters counters_;
  bool reporting_ = false;
};

}  // namespace pistachioweir
