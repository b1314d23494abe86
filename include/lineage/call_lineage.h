// call_lineage: what a call inherits from the request that it is made for.
#pragma once

#include <cstdint>
#include <string>

#include "include/base/enum_table.h"

namespace pistachioweir {

// Travels down with a call tree, from hop to hop.
struct call_lineage {
  std::string root;         // Route of the request at the root of the tree.
  std::uint32_t depth = 0;  // Calls above; zero for the root itself.
  // A run above is a repeat, so that the called service counts this call as a
  // repeat, too.
  bool in_repeat = false;
  // Share of the root's kind that was admitted at the entrance; above 0, at
  // most 1.
  double admitted_share = 1;

  friend bool operator==(const call_lineage&, const call_lineage&) = default;
};

// How the request was found that a call of the local target is made for.
enum class lineage_evidence : std::uint8_t {
  kNone,       // Not found.
  kRequestId,  // The call's id extends the id of a running request.
  kDeadline,   // Exactly one running request has the call's deadline.
  kAmbiguous,  // Several are possible; what all of them have is inherited.
};

inline constexpr enum_table<lineage_evidence, 4> kLineageEvidenceNames(
    {"none", "request_id", "deadline", "ambiguous"});

// Which evidence a deployment relies on.
enum class lineage_policy : std::uint8_t {
  kOff,
  kDeadline,   // Deadlines only.
  kRequestId,  // Request ids first, then deadlines.
};

inline constexpr enum_table<lineage_policy, 3> kLineagePolicyNames(
    {"off", "deadline", "request_id"});

}  // namespace pistachioweir
