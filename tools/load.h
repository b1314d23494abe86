// load: open-loop callers. Requests arrive by a Poisson process whether or not
// earlier ones were answered, as real callers do; a closed loop would slow
// down with the system and hide its overload.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "standin/http_client.h"
#include "standin/record_file.h"
#include "tools/load_plan.h"
#include "tools/load_report.h"

namespace pistachioweir::standin {

// Runs one plan; one thread runs `io` and calls all members.
class load {
 public:
  load(boost::asio::io_context& io, load_plan plan);
  ~load();
  load(const load&) = delete;
  load& operator=(const load&) = delete;

  // Sends until the plan's length is over; the context runs out of work when
  // the last answer is in.
  void Start();

  [[nodiscard]] const load_report& report() const { return report_; }

 private:
  class request;
  struct issued_key {
    std::string key;
    endpoint home;
    time_point fetched;
  };
  class arrivals;

  void Arrive();
  void ScheduleNext();
  void FetchKeys(const std::string& method);
  // A key fetched ahead, or nothing: the call then fetches its own by 428.
  [[nodiscard]] std::optional<issued_key> TakeKey(const std::string& method);
  [[nodiscard]] const endpoint& DrawDaemon();
  // Not `last`, if there is another.
  [[nodiscard]] const endpoint& DrawOtherDaemon(const endpoint& last);

  boost::asio::io_context& io_;
  load_plan plan_;
  http_client client_;
  record_file records_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> mix_;
  std::unique_ptr<arrivals> arrivals_;
  std::uint64_t next_id_ = 0;
  std::map<std::string, std::deque<issued_key>> keys_;  // By method.
  std::map<std::string, bool> fetching_;
  load_report report_;
};

}  // namespace pistachioweir::standin
