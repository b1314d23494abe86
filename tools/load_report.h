// load_report: what the callers of a load saw, per method.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachioweir::standin {

struct method_report {
  std::uint64_t sent = 0;
  std::uint64_t in_deadline = 0;
  std::uint64_t late = 0;          // Completed, after its deadline.
  std::uint64_t failed = 0;        // Completed with an error of the target.
  std::uint64_t not_executed = 0;  // The last thing that the caller was told.
  std::uint64_t unknown = 0;       // Or heard nothing.
  std::uint64_t wrong = 0;         // Answers cut or of another request.
  std::uint64_t resends = 0;
  std::map<std::string, std::uint64_t> reasons;
  std::vector<double> latencies_ms;  // Of completed requests.
  // Requests completed in their deadline, by the second of their sending.
  std::map<std::int64_t, std::uint64_t> goodput;
};

// By method name.
using load_report = std::map<std::string, method_report>;

// The value below which `share` of `values` lie; zero if there are none.
[[nodiscard]] double Percentile(std::vector<double> values, double share);

[[nodiscard]] Json::Value ToJson(const load_report& report);
// A table for people, a line per method.
[[nodiscard]] std::string ToTable(const load_report& report);

}  // namespace pistachioweir::standin
