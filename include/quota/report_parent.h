// report_parent: when a daemon reports to its parent in the usage tree, and
// which response belongs to the last report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "include/base/time.h"
#include "include/quota/usage_tree.h"
#include "include/route/daemon_order.h"

namespace pistachioweir {

// Reports are numbered, and one is under way at a time: its successor would
// contain the same again.
//
// Pure logic; each kind of report has one.
class report_parent {
 public:
  // Delay that each level of the tree may add until a surge is known at the
  // root.
  static constexpr milliseconds kReportInterval{250};
  // A response that has not arrived after this time counts as lost.
  static constexpr milliseconds kResponseTimeout{600};

  explicit report_parent(usage_tree_options options)
      : tree_(std::move(options)) {}

  void SetDaemons(const daemon_order& order) { tree_.SetDaemons(order); }

  // Chooses the parent; call every kReportInterval. Returns the one before if
  // it has changed.
  std::optional<std::optional<std::string>> Choose(time_point now);
  // Begins a report, or returns nullopt if there is no parent, or if the last
  // report is still under way.
  [[nodiscard]] std::optional<std::uint64_t> Begin(time_point now);
  // Returns when the report was sent that is answered, or nullopt if it isn't
  // the last one, or was answered before.
  [[nodiscard]] std::optional<time_point> OnResponse(const std::string& ip,
                                                     std::uint64_t number,
                                                     time_point now);

  // There is a new connection to the daemon at `ip`.
  void OnConnected(const std::string& ip);
  // Whether the parent answered the last report in time, over the connection
  // that there is now. If not, what the receiver knows of the clocks' offset
  // may be wrong by more than kResponseTimeout.
  [[nodiscard]] bool answered_in_time() const { return answered_in_time_; }

  // Nothing if this daemon is the root.
  [[nodiscard]] const std::optional<std::string>& ip() const { return parent_; }
  [[nodiscard]] std::size_t daemons() const { return tree_.daemons(); }

 private:
  usage_tree tree_;
  std::optional<std::string> parent_;
  std::uint64_t last_number_ = 0;
  std::optional<time_point> sent_at_;  // Unset once answered.
  bool answered_in_time_ = false;
};

}  // namespace pistachioweir
