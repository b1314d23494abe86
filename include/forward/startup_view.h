// startup_view: whether a daemon that has just started uses the view that
// another daemon tells it.
#pragma once

#include <cstdint>

#include "include/base/enum_table.h"
#include "include/forward/told_view.h"

namespace pistachioweir {

// What became of a view that was told.
enum class told_view_verdict : std::uint8_t {
  kTaken,
  kStoreAnswered,   // The store's own word is known.
  kStoreAnswering,  // It is being read.
  kNotNewer,        // Than another one that was told.
};

inline constexpr enum_table<told_view_verdict, 4> kToldViewVerdictNames(
    {"taken", "store_answered", "store_answering", "not_newer"});

// A daemon that starts while the platform's store is away knows no route, no
// target, and not even how many requests the target beside it runs at a time.
// All it gets would be refused until the store is back, though its neighbours
// serve on with the views that they have: 893 of 6,318 requests when four of
// six daemons were started in a silence of the store. So it asks those that
// connect to it.
//
// What they know may be old. Three things keep an old view from doing harm that
// the daemon beside it wouldn't do as well:
// - The store's own word ends it for good: once the daemon has read the store,
//   no view that is told is taken (guard STORE_WINS in spec/startup_view.pml).
// - A told view gives way to a newer one only, by the store's count of changes.
//   What was withdrawn so doesn't come back, whoever is asked next (guard
//   NEWER_ONLY in spec/startup_view.pml).
// - It is told on with the age that it had, so lines and metrics tell how long
//   ago the store confirmed it.
//
// Pure logic; the daemon keeps one.
class startup_view {
 public:
  // `read` is the revision of the store that the daemon has read itself, zero
  // if none. `adopt` uses the view, and returns false if the store is answering
  // just now.
  template <typename Adopt>
  told_view_verdict Offer(const told_view& told,
                          std::uint64_t read,
                          Adopt&& adopt) {
    if (read != 0) {
      return told_view_verdict::kStoreAnswered;
    }
    if (told.revision <= revision_) {
      return told_view_verdict::kNotNewer;
    }
    if (!adopt(told)) {
      return told_view_verdict::kStoreAnswering;
    }
    revision_ = told.revision;
    return told_view_verdict::kTaken;
  }

  // Of the view that was taken last; zero if none was.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  std::uint64_t revision_ = 0;
};

}  // namespace pistachioweir
