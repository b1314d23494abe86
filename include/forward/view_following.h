// view_following: selects the daemons that read the platform's store for all,
// and the sources from which the others receive changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/forward/view_changes.h"
#include "include/route/daemon_order.h"

namespace pistachioweir {

struct view_following_options {
  daemon_location self;
  // Daemons that read the store for their data centre. With two, one that is
  // frozen or cut off causes no delay: the other's reports keep arriving.
  std::size_t readers = 2;
  // Followers of one pair of daemons. Bounds the cost of a change for each
  // daemon, regardless of the size of its data centre.
  std::size_t fan_out = 32;
  // A source without a useful report for this long is replaced. It has missed
  // two heartbeats then.
  milliseconds source_timeout{550};
  // Maximum age of a confirmation of the own view by a reader of the store;
  // without one a daemon reads the store itself. Half of the two seconds within
  // which a change may have to be in force. Older reports are ignored. Each
  // daemon that a report passes adds at most one heartbeat interval, and it
  // passes at most three.
  milliseconds max_age{1000};
  // How long a replaced source is excluded if no report of it arrives.
  milliseconds exclusion{30000};
};

struct following_plan {
  store_reading reading = store_reading::kEager;
  std::vector<std::string> sources;  // IP addresses of the daemons to follow.
};

// All daemons have the same order of daemons. The first two of a data centre
// read the store; the others follow them, in a large data centre through
// daemons earlier in the order. Differing lists of daemons cost only extra
// calls and milliseconds; correctness depends on revisions alone
// (view_changes.h).
//
// A source is rated by the age of its reports, which accumulates over all
// daemons on the path (guard AGE_COUNTS in spec/shared_views.pml). A daemon
// without a fresh report reads the store itself (guard READS_ALONE in
// spec/shared_views.pml).
//
// Pure logic; owned by view_sharing.
class view_following {
 public:
  // Transit time of a report to the next daemon, with some margin. Added to
  // each age that is passed on.
  static constexpr milliseconds kReportDelay{20};

  explicit view_following(view_following_options options);

  // Sets all known daemons, including this one if its target is listed. Those
  // beside leaving targets alone aren't used: their VMs are about to stop.
  void SetDaemons(const daemon_order& order);

  // The daemon at `ip` has a view that isn't older than the own one. A reader
  // of the store confirmed it `age` ago; zero if that daemon reads the store
  // itself. `same` if both views have the same revision.
  void OnReport(const std::string& ip,
                milliseconds age,
                bool same,
                time_point now);
  // Changes were applied that a reader of the store read `read_ago`: the view
  // is the store's newest state of then. In a series of changes, reports rarely
  // come at a moment at which both daemons have the same revision.
  void OnChanges(milliseconds read_ago, time_point now);
  // The daemon at `ip` can't be reached, or is stopping.
  void OnLost(const std::string& ip, time_point now);
  // Result of this daemon's last read of the store; only called while it reads.
  void OnReadResult(bool ok);

  // Returns what to do from now on. Must be called several times within
  // `source_timeout`.
  [[nodiscard]] following_plan Plan(time_point now);

  // Time since the last known confirmation of the own view by a reader of the
  // store. Zero only if this daemon reads the store.
  [[nodiscard]] milliseconds Age(time_point now) const;
  // Whether that is recent enough for the view to be relied on.
  [[nodiscard]] bool IsFresh(time_point now) const {
    return Age(now) <= options_.max_age;
  }

 private:
  struct source {
    time_point since;          // When it was selected.
    bool should_read = false;  // It is among the first of its data centre.
    time_point last_report;    // Its last useful report.
    std::optional<time_point> excluded_since;  // Unset while it is in use.
  };

  [[nodiscard]] bool IsExcluded(const std::string& ip, time_point now) const;
  // Daemons of the own data centre in order, without excluded ones.
  [[nodiscard]] std::vector<std::string> Serving(time_point now) const;
  [[nodiscard]] std::vector<std::string> Sources(
      const std::vector<std::string>& serving,
      time_point now) const;
  // The first one of the pair in `serving` that serves this daemon.
  [[nodiscard]] std::size_t ServingPair(
      const std::vector<std::string>& serving) const;
  void AddRemote(std::vector<std::string>* sources, time_point now) const;
  [[nodiscard]] bool IsListed() const;
  [[nodiscard]] bool IsAmongFirst(const std::vector<std::string>& order) const;
  void ExpireSources(time_point now);
  void SetSources(const std::vector<std::string>& sources,
                  const std::vector<std::string>& serving,
                  time_point now);
  void AddExcluded(std::vector<std::string>* sources) const;
  [[nodiscard]] store_reading Reading(const std::vector<std::string>& serving,
                                      time_point now) const;

  const view_following_options options_;
  std::vector<std::string> local_;  // Daemons of the own data centre, in order.
  std::vector<std::string> remote_;  // Daemons of other data centres, in order.
  std::map<std::string, source> sources_;  // Followed or excluded.
  time_point last_plan_;                   // Time of the last plan.
  // Since when reports could arrive: before that there was no source to follow,
  // or this daemon was stalled.
  std::optional<time_point> listening_since_;
  // When a reader of the store last confirmed the view.
  time_point confirmed_;
  bool last_read_ok_ = false;
  bool last_read_failed_ = false;  // The last read was tried and failed.
};

}  // namespace pistachioweir
