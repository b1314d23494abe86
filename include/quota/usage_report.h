// usage_report: the reports on organisation quotas that daemons exchange.
#pragma once

#include <cstdint>
#include <vector>

#include "include/organisation/organisation_table.h"

namespace pistachioweir {

// Requests of one organisation since the last report.
struct usage_entry {
  organisation_id id{};
  // Negative if more requests were refunded, since they did not run, than
  // admitted.
  std::int64_t admitted = 0;
  std::int64_t refused = 0;

  friend bool operator==(const usage_entry&, const usage_entry&) = default;
};

// Sent from a daemon to its parent in the usage tree.
struct usage_report {
  std::uint32_t daemons = 1;  // That the report covers.
  std::vector<usage_entry> entries;

  friend bool operator==(const usage_report&, const usage_report&) = default;
};

struct quota_entry {
  organisation_id id{};
  // As in quota_inputs, for the reachable daemons.
  double level = 0;
  double demand = 0;

  friend bool operator==(const quota_entry&, const quota_entry&) = default;
};

// The response to a usage_report. Omits organisations that are far from their
// limits.
struct quota_report {
  std::uint32_t daemons = 0;  // That are reachable.
  std::vector<quota_entry> entries;

  friend bool operator==(const quota_report&, const quota_report&) = default;
};

}  // namespace pistachioweir
