// view_changes: changes of the platform's store, as it tells them and as
// daemons tell them each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// An entry as it was last written, or its removal. What the key and the value
// say is the platform's; only its adapter reads them.
struct stored_entry {
  std::string key;
  std::string value;          // Empty if it was removed.
  std::uint64_t created = 0;  // The store's revision of its first writing.
  std::uint64_t revision = 0;
  bool removed = false;

  friend bool operator==(const stored_entry&, const stored_entry&) = default;
};

// Everything that changed behind one revision of the store up to another. The
// store has one count of changes, so that of any two daemons' reports the newer
// one can be told. Whatever is told, and however late it comes, a daemon takes
// only what ends behind what it knows (guard NEWER_ONLY in
// spec/shared_views.pml), or what was withdrawn would come back; and only what
// begins at or before that (guard GAPLESS in spec/shared_views.pml), or it
// would miss a change for good and believe that it has all.
struct view_changes {
  // Zero if the entries are all that there are: then what isn't among them has
  // been removed.
  std::uint64_t after = 0;
  std::uint64_t revision = 0;  // The last one; above zero.
  // Since a daemon read the newest of them at the store.
  milliseconds read_ago{0};
  // Since the store was back after it had been away, if that is so short ago
  // that entries which ran out meanwhile may still come back.
  std::optional<milliseconds> returned_ago;
  std::vector<stored_entry> entries;
  std::string from;  // The daemon that told them; empty for the store.
};

// What became of changes that were told.
enum class changes_verdict : std::uint8_t {
  kTaken,
  kNotNewer,  // All of it is known.
  kGap,       // What came before them isn't known.
};

inline constexpr enum_table<changes_verdict, 3> kChangesVerdictNames(
    {"taken", "not_newer", "gap"});

// Whether a daemon reads the store itself.
enum class store_reading : std::uint8_t {
  kNone,  // Others tell it what changes.
  // It does, but it can wait if the store fails: others tell it what changes,
  // or others are trying as well.
  kPatient,
  kEager,
};

inline constexpr enum_table<store_reading, 3> kStoreReadingNames({"none",
                                                                  "patient",
                                                                  "eager"});

}  // namespace pistachioweir
