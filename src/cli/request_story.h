// request_story: picks one request's lines out of the logs of several daemons.
#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachioweir {

// One line of a daemon's log, as "name=value" fields.
struct log_line {
  std::string time;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  // All others.
};

// Nothing if `text` isn't such a line. What stands in front of "time=", as a
// collector's own stamp, is passed over.
[[nodiscard]] std::optional<log_line> ParseLogLine(std::string_view text);

// The lines of one request. Add() the logs in any order; times of the daemons
// are compared as they are, so that clocks that differ show as disorder.
class request_story {
 public:
  explicit request_story(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // `source` names the log in the story.
  void Add(std::istream& log, const std::string& source);

  // A line each, in the order of their times. Empty if there are none.
  [[nodiscard]] std::string Text() const;
  // Lines that name the request and can't be read.
  [[nodiscard]] std::size_t unreadable() const { return unreadable_; }

 private:
  const std::string request_id_;
  std::multimap<std::string, std::string> lines_;  // By time.
  std::size_t unreadable_ = 0;
};

}  // namespace pistachioweir
