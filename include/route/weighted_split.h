// weighted_split: divides a route's requests among its parts by their weights.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "include/route/route_table.h"

namespace pistachioweir {

// Made for splits whose shares people check: by a random choice, 200 requests
// at nine to one give the small part between 12 and 28 of its 20. Each part
// earns its weight with every request and the richest one is taken, so that
// every span of requests has each part's share to within one request.
//
// Pure logic. The owner keeps one for each route and asks it once a request, so
// that another try of the request stays with the part that was chosen.
class weighted_split {
 public:
  // `random` sets where in its cycle a new split begins. Daemons that all began
  // at the same place would send their first requests to the same part.
  explicit weighted_split(std::uint64_t random) : random_(random) {}

  // The service of the next request. `parts` has at least one weight; credit is
  // kept over calls as long as the parts are the same.
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
