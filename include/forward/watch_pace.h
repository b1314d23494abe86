// watch_pace: how often a daemon asks the platform's store for changes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"
#include "include/forward/forward_settings.h"

namespace pistachioweir {

// At most half of the two seconds within which a change of the configuration or
// of a target that leaves must be in force.
inline constexpr milliseconds kMaxWatchPause{1000};
// A pause ends early when a target turns out to be another one than the list
// has at its address: the changes that the daemon waits for are then those that
// it needs. After a loss of power all targets are new. A daemon that read the
// store while some of their entries were there would wait for the rest, hear
// from each old target in turn that it is gone, and refuse calls for want of a
// target while all of them are registered. Not more often than this: each is a
// call that the pause was to save.
inline constexpr milliseconds kMinWatchPause{200};

// One change costs a call of each daemon that watches the store. A series of
// changes, as when all targets are started or replaced, would cost as many
// calls as changes times daemons: the store then turns daemons away, and those
// learn nothing of what matters. So a daemon that has just heard of a change
// waits before it asks for the next ones, which then come together. The first
// change after a calm time is still heard of at once.
struct watch_pace_options {
  // Calls a second that the store takes of all daemons together; zero if not
  // told.
  double store_calls_per_second = 0;
  reader_policy readers = reader_policy::kFew;
  milliseconds max_wait{0};  // Of a watch; zero for no bound.
  milliseconds max_pause = kMaxWatchPause;
  milliseconds min_pause = kMinWatchPause;  // If it is ended early.
};

// The part of the store's calls that changes may take. After an outage of the
// store each daemon that watches may have to read everything anew, within a
// second or two, and others read there too. Calls are paid for as well.
inline constexpr double kWatchShare = 0.01;

// Where a few daemons read for all, each change costs a call of those only. The
// two of a data centre tell each other what they read, and both are woken by
// the same change: if they paused for the same time, one of them would call for
// nothing.
inline constexpr milliseconds kMinReaderPause{500};

// How long to wait behind an answer that brought changes. `random` spreads the
// pauses of readers.
[[nodiscard]] constexpr milliseconds WatchPause(
    const watch_pace_options& options,
    std::size_t daemons,
    std::uint32_t random) {
  const double allowed = kWatchShare * options.store_calls_per_second;
  if (allowed <= 0) {
    return milliseconds(0);
  }
  if (options.readers == reader_policy::kFew) {
    const milliseconds minimum = std::min(kMinReaderPause, options.max_pause);
    const milliseconds spread = options.max_pause - minimum;
    return minimum +
           spread * static_cast<milliseconds::rep>(random % 1024) / 1024;
  }
  const milliseconds even(static_cast<milliseconds::rep>(
      1000.0 * static_cast<double>(daemons) / allowed));
  return std::min(even, options.max_pause);
}

// How long a watch waits for a change, before it is renewed.
//
// Each renewal is a call, and without changes it only shows that the store
// still answers. What can go wrong unseen is an answer that is lost on the way,
// or a store that has stopped answering. A connection that is dead as a whole
// shows by the kernel's probes. So it is enough that somebody finds out:
// daemons tell each other how new their views are, and whoever hears of a newer
// one asks at once. Where all daemons watch, together they renew a watch this
// often, however many they are.
inline constexpr milliseconds kFleetRenewal{100};
// A few daemons can't rely on each other, and find out by themselves within the
// two seconds that a change may take.
inline constexpr milliseconds kMinWatchWait{1500};
// Behind a silent store a daemon may be this long without news.
inline constexpr milliseconds kMaxWatchWait{8000};
// Where a few daemons read for all, each of them vouches for many others while
// its watch waits, and others tell by its answers whether the store is there
// (store_contact.h). So long at most lies between two of them; a pause counts.
inline constexpr milliseconds kMaxReaderWait{1500};
// What is left of that behind a pause.
inline constexpr milliseconds kMinReaderWait{250};

// `random` spreads the renewals: a change wakes all daemons at one moment.
// `paused` is the time since the last answer.
[[nodiscard]] constexpr milliseconds WatchWait(
    const watch_pace_options& options,
    std::size_t daemons,
    std::uint32_t random,
    milliseconds paused = milliseconds(0)) {
  const milliseconds maximum =
      options.readers == reader_policy::kAll ? kMaxWatchWait : kMaxReaderWait;
  const milliseconds even =
      std::clamp(kFleetRenewal * static_cast<milliseconds::rep>(daemons),
                 kMinWatchWait, maximum);
  const milliseconds spread = (even - kMinWatchWait) / 2;
  milliseconds wait =
      even - spread * static_cast<milliseconds::rep>(random % 1024) / 1024;
  if (options.readers == reader_policy::kFew) {
    wait = std::max(kMinReaderWait, wait - paused);
  }
  return options.max_wait > milliseconds(0) ? std::min(wait, options.max_wait)
                                            : wait;
}

}  // namespace pistachioweir
