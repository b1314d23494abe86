// usage_report: what daemons tell each other of organisations' quotas.
#pragma once

#include <cstdint>
#include <vector>

#include "include/organisation/organisation_table.h"

namespace pistachioweir {

// Requests of one organisation since the last report.
struct usage_entry {
  organisation_id id{};
  // Below zero if more were given back, since they did not run, than let in.
  std::int64_t admitted = 0;
  std::int64_t refused = 0;

  friend bool operator==(const usage_entry&, const usage_entry&) = default;
};

// Goes towards the first daemon of the tree.
struct usage_report {
  std::uint32_t daemons = 1;  // That the report is of.
  std::vector<usage_entry> entries;

  friend bool operator==(const usage_report&, const usage_report&) = default;
};

struct quota_entry {
  organisation_id id{};
  // As in quota_inputs, for the daemons that are in touch.
  double level = 0;
  double demand = 0;

  friend bool operator==(const quota_entry&, const quota_entry&) = default;
};

// Comes back. Organisations that are far from their limits are left out.
struct quota_report {
  std::uint32_t daemons = 0;  // That are in touch.
  std::vector<quota_entry> entries;

  friend bool operator==(const quota_report&, const quota_report&) = default;
};

}  // namespace pistachioweir
