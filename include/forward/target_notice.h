// target_notice: what a target says about itself in its answers, and which of
// several answers counts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "include/base/time.h"

namespace pistachioweir {

// The statements of one answer.
struct target_notice {
  // Requests a second that the target takes from all callers together.
  std::optional<double> rate_limit;
  // The answer carries a limit that can't be read; `rate_limit` is empty.
  bool rate_limit_unreadable = false;
  // The target is about to shut down.
  bool leaving = false;
  // When the target takes a request again that it has not executed; zero if it
  // doesn't say.
  milliseconds retry_after{0};
  // The statements that can't be read, for the log.
  std::string unreadable;
};

// What is known about one start of a target, as daemons tell each other.
struct known_notice {
  std::string start;  // StartName(); empty if nothing is known.
  std::optional<double> rate_limit;
  bool leaving = false;
  milliseconds age{0};  // Of the answer that it was learnt from.

  [[nodiscard]] bool says_anything() const { return rate_limit || leaving; }
};

// The newest statements of the target beside a daemon.
//
// A target writes its statements when it answers, and its connections deliver
// answers in any order. One answer is certainly newer than another only if its
// request was sent after the other had been read. So a limit is raised or
// removed by an answer that is certainly newer, and lowered by any: a limit
// that is too low for one more answer costs little, one that is missed
// overloads the target.
//
// That a target is leaving holds until another start takes its place.
//
// Pure logic; owned by the executor.
class target_notices {
 public:
  // Sets the start that the view lists beside the daemon, as StartName().
  void SetStart(const std::string& start);
  // An answer of `target` to a request that was sent at `sent` has been read.
  void OnAnswer(const std::string& target,
                const target_notice& notice,
                time_point sent,
                time_point now);
  // Another daemon returns what this one had told it before a restart. Ignored
  // once the target has answered. Returns whether anything changed.
  bool Import(const known_notice& notice, time_point now);

  [[nodiscard]] std::optional<double> rate_limit() const { return rate_limit_; }
  // Since when the target is known to be leaving.
  [[nodiscard]] std::optional<time_point> leaving_since() const {
    return leaving_since_;
  }
  // Id of the target that the statements are from; empty before the first one.
  [[nodiscard]] const std::string& target() const { return target_; }
  // Last answer or import that gave the current limit.
  [[nodiscard]] time_point heard_at() const { return heard_at_; }
  [[nodiscard]] known_notice Known(time_point now) const;

 private:
  void Reset();
  void OnRateLimit(std::optional<double> limit,
                   time_point sent,
                   time_point now);

  std::string listed_;  // Start in the view; empty before the first view.
  std::string target_;
  // Start that `target_` belongs to; empty if the view doesn't list it yet.
  std::string start_;
  bool answered_ = false;  // False if all is imported.
  std::optional<double> rate_limit_;
  time_point heard_at_;
  // Lowest limit, infinite for none, of the answers since `heard_at_` that
  // raised none, and when the last of them was read.
  std::optional<double> lowest_ignored_;
  time_point ignored_at_;
  std::optional<time_point> leaving_since_;
  time_point answered_at_;  // When the last answer was read.
};

}  // namespace pistachioweir
