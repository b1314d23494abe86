// weighted_split: splits a route's requests among its parts by weight.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "include/route/route_table.h"

namespace pistachioweir {

// Smooth weighted round robin, for splits whose shares people check: with a
// random choice, 200 requests at nine to one give the small part between 12 and
// 28 instead of 20. Each part gains its weight as credit with every request and
// the one with the most credit is selected, so that in every sequence of
// requests each part's share is exact to within one request.
//
// Pure logic. The owner keeps one per route and calls it once per request, so
// that retries of the request stay with the selected part.
class weighted_split {
 public:
  // `random` sets the initial position in the cycle. Daemons that all started
  // at the same position would send their first requests to the same part.
  explicit weighted_split(std::uint64_t random) : random_(random) {}

  // Returns the service of the next request. `parts` has at least one weight;
  // credit is kept across calls as long as the parts are the same.
  [[nodiscard]] std::string_view Next(const std::vector<route_part>& parts);

 private:
  void Restart(const std::vector<route_part>& parts);
  [[nodiscard]] std::size_t Step();

  std::uint64_t random_;
  std::vector<route_part> parts_;
  std::vector<std::int64_t> credit_;  // By part; their sum is zero.
  std::int64_t total_ = 0;            // Sum of the weights.
};

}  // namespace pistachioweir
