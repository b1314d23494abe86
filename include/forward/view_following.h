// view_following: which daemons read the platform's store for all, and whom the
// others follow to hear what changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/forward/view_changes.h"

namespace pistachioweir {

// Where a daemon is: beside a target.
struct daemon_location {
  std::string ip;
  std::string data_centre;

  friend auto operator<=>(const daemon_location&,
                          const daemon_location&) = default;
};

struct view_following_options {
  daemon_location self;
  // Daemons that read the store for their data centre. With two, one that is
  // frozen or cut off costs nobody time: the other's reports come as before.
  std::size_t readers = 2;
  // Followers that one pair of daemons has. Bounds what a change costs each
  // daemon, whatever the size of its data centre.
  std::size_t fan_out = 32;
  // A source that has said nothing useful for this long is replaced. Two
  // heartbeats of it are missing then.
  milliseconds source_timeout{550};
  // If nobody who reads the store confirmed the own view so lately, a daemon
  // reads by itself; half of the two seconds in which a change may have to be
  // in force. A report that is older than this is of no use. Each daemon that
  // it comes by adds at most the time between two heartbeats, and it comes by
  // three at most.
  milliseconds max_age{1000};
  // How long a source that was replaced is passed over if it isn't heard from.
  milliseconds exclusion{30000};
};

struct following_plan {
  store_reading reading = store_reading::kEager;
  std::vector<std::string> sources;  // IP numbers of the daemons to follow.
};

// Daemons are ordered by a hash of their addresses, the same at all of them.
// The first two of a data centre read the store; the others follow them, in a
// large data centre by way of others that stand further in front. Lists that
// differ cost calls and milliseconds; what is true is decided by revisions
// (view_changes.h).
//
// A source is judged by the age of what it reports, which counts on through
// every daemon (guard AGE_COUNTS in spec/shared_views.pml). A daemon without a
// fresh report reads the store itself (guard READS_ALONE in
// spec/shared_views.pml).
//
// Pure logic; the daemon keeps one.
class view_following {
 public:
  // What a report takes to the next daemon, with some margin: an age that is
  // passed on grows by this.
  static constexpr milliseconds kReportDelay{20};

  explicit view_following(view_following_options options);

  // All daemons that are known, this one among them if its target is listed.
  void SetDaemons(const std::vector<daemon_location>& daemons);

  // The daemon at `ip` has a view that isn't older than the own one. Somebody
  // who reads the store confirmed it `age` ago; zero if it reads the store
  // itself. `same` if its view is as new as the own one.
  void OnReport(const std::string& ip,
                milliseconds age,
                bool same,
                time_point now);
  // The daemon at `ip` can't be reached, or is stopping.
  void OnLost(const std::string& ip, time_point now);
  // How the own reading of the store goes; only while there is one.
  void OnReadResult(bool ok);

  // What to do from now on. Call several times within `silence`.
  [[nodiscard]] following_plan Plan(time_point now);

  // How long ago somebody who reads the store confirmed the own view, as far
  // as is known. Zero only if this daemon reads it.
  [[nodiscard]] milliseconds Age(time_point now) const;
  // Whether that is so lately that the view can be relied on.
  [[nodiscard]] bool IsFresh(time_point now) const {
    return Age(now) <= options_.max_age;
  }

 private:
  struct source {
    time_point since;          // When it was chosen.
    bool should_read = false;  // It stands in front of its data centre.
    time_point last_report;    // Its last useful one.
    std::optional<time_point> excluded_since;  // Since when it is passed over.
  };

  [[nodiscard]] bool IsExcluded(const std::string& ip, time_point now) const;
  // Of the own data centre, in the order, without those that are passed over.
  [[nodiscard]] std::vector<std::string> Serving(time_point now) const;
  [[nodiscard]] std::vector<std::string> Sources(
      const std::vector<std::string>& serving,
      std::size_t own_index,
      time_point now) const;
  void AddRemote(std::vector<std::string>* sources, time_point now) const;
  [[nodiscard]] bool IsAmongFirst(const std::vector<std::string>& order) const;
  void ExpireSources(time_point now);
  void SetSources(const std::vector<std::string>& sources,
                  const std::vector<std::string>& serving,
                  time_point now);
  void AddExcluded(std::vector<std::string>* sources) const;
  [[nodiscard]] store_reading Reading(const std::vector<std::string>& serving,
                                      time_point now) const;

  const view_following_options options_;
  std::vector<std::string> local_;   // The own data centre's, in the order.
  std::vector<std::string> remote_;  // The others', likewise.
  std::map<std::string, source> sources_;  // Followed, or passed over.
  time_point last_plan_;                   // The last plan.
  // Since when somebody could have spoken: there was nobody to follow before,
  // or this daemon stood still.
  std::optional<time_point> listening_since_;
  // When somebody who reads the store confirmed the view.
  time_point confirmed_;
  bool last_read_ok_ = false;
  bool last_read_failed_ = false;  // It was tried, and the store failed.
};

}  // namespace pistachioweir
