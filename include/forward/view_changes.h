// view_changes: changes of the platform's store, as reported by the store and
// as propagated between daemons.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// An entry as it was last written, or its removal. Key and value are opaque
// here; only the platform's adapter interprets them.
struct stored_entry {
  std::string key;
  std::string value;          // Empty if it was removed.
  std::uint64_t created = 0;  // Revision at which it was first written.
  std::uint64_t revision = 0;
  bool removed = false;

  friend bool operator==(const stored_entry&, const stored_entry&) = default;
};

// Everything that changed after one revision of the store up to another. The
// store numbers all changes in one sequence, so that reports of any two daemons
// can be ordered. Regardless of how late changes arrive, a daemon applies them
// only if they end after its own revision (guard NEWER_ONLY in
// spec/shared_views.pml), or a withdrawn entry would come back; and only if
// they begin at or before it (guard GAPLESS in spec/shared_views.pml), or it
// would miss a change permanently while it considers itself up to date.
struct view_changes {
  // Zero if the entries are a full snapshot: then an entry that isn't among
  // them has been removed.
  std::uint64_t after = 0;
  std::uint64_t revision = 0;  // Of the last change; above zero.
  // Time since a daemon read the newest of them from the store, and nothing
  // newer was there.
  milliseconds read_ago{0};
  // Time since the end of the store's last outage, if that is so recent that
  // entries which expired in it may still come back.
  std::optional<milliseconds> returned_ago;
  std::vector<stored_entry> entries;
  std::string from;  // The daemon that sent them; empty for the store.
};

// Result of applying received changes.
enum class changes_verdict : std::uint8_t {
  kTaken,
  kNotNewer,  // All of them are known.
  kGap,       // Changes before them are missing.
};

inline constexpr enum_table<changes_verdict, 3> kChangesVerdictNames(
    {"taken", "not_newer", "gap"});

// Whether a daemon reads the store itself.
enum class store_reading : std::uint8_t {
  kNone,  // It receives changes from others.
  // It does, but may back off if the store fails: it receives changes from
  // others, or others are trying as well.
  kPatient,
  kEager,
};

inline constexpr enum_table<store_reading, 3> kStoreReadingNames({"none",
                                                                  "patient",
                                                                  "eager"});

}  // namespace pistachioweir
