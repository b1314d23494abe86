// watch_pace: how often a daemon asks the platform's store for changes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"
#include "include/forward/forward_settings.h"

namespace pistachioweir {

// Half of the two seconds within which a change of the configuration or the
// leaving of a target must be in force.
inline constexpr milliseconds kMaxWatchPause{1000};
// A pause ends early when a target turns out to be different from the one
// listed at its address: the daemon then needs the pending changes at once.
// After a loss of power all targets are new. A daemon that read the store while
// only some of their entries were there would wait for the rest, find out that
// one old target after the other is gone, and refuse calls for lack of a target
// although all targets are registered. This is the minimum between early ends:
// each costs a call that the pause was meant to save.
inline constexpr milliseconds kMinWatchPause{200};

// One change costs one call per daemon that watches the store. A series of
// changes, as when all targets are started or replaced, would cost as many
// calls as changes times daemons: the store then rejects calls, and the
// rejected daemons miss important changes. So a daemon that has just received a
// change waits before it asks for the next ones, which then arrive in one
// batch. The first change after a quiet period is still received at once.
struct watch_pace_options {
  // Calls per second that the store accepts from all daemons together; zero if
  // unknown.
  double store_calls_per_second = 0;
  reader_policy readers = reader_policy::kFew;
  milliseconds max_wait{0};  // Of a watch; zero for unlimited.
  milliseconds max_pause = kMaxWatchPause;
  milliseconds min_pause = kMinWatchPause;  // If it ends early.
};

// Fraction of the store's calls that watches may use. After an outage each
// watching daemon may have to read everything again within a second or two, and
// other programs read the store too. Calls also cost money.
inline constexpr double kWatchShare = 0.01;

// With reader_policy::kFew, each change costs a call of the readers only. The
// two readers of a data centre share what they read, and the same change wakes
// both: with equal pauses one of the two calls would be redundant.
inline constexpr milliseconds kMinReaderPause{500};

// Returns how long to wait after an answer that contained changes. `random`
// spreads the pauses of readers.
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

// How long a watch waits for a change before it is renewed.
//
// Each renewal is a call, and without changes it only shows that the store
// still answers. It detects a lost answer or a store that has stopped
// answering; a dead connection is detected by the kernel's keep-alive probes.
// One daemon that notices is enough: daemons report the revisions of their
// views to each other, and a daemon that receives a newer one asks at once.
// With reader_policy::kAll, all daemons together renew a watch this often,
// regardless of their number.
inline constexpr milliseconds kFleetRenewal{100};
// A small fleet can't rely on the others' watches, so each daemon detects a
// fault itself within the two seconds that a change may take.
inline constexpr milliseconds kMinWatchWait{1500};
// Maximum time that a daemon of a large fleet waits on a silent store.
inline constexpr milliseconds kMaxWatchWait{8000};
// With reader_policy::kFew, many daemons depend on a reader while its watch
// waits, and detect outages by the answers that it gets (store_contact.h). This
// is the maximum time between two answers, including a pause.
inline constexpr milliseconds kMaxReaderWait{1500};
// Minimum watch time that remains of that after a pause.
inline constexpr milliseconds kMinReaderWait{250};

// A fleet that starts as a whole finds the store empty: its targets register
// within some seconds. Until then nobody is known who could tell of changes,
// and watches would bring each target to each daemon with a call of its own. So
// everything is read again, with an answer that may be old and costs a tenth.
// Each such read is made by every daemon of the fleet, and there is nobody to
// call before the first target has registered.
inline constexpr milliseconds kStartPause{1000};
inline constexpr int kMaxStartReads = 4;

// Returns how long to wait after a read that found nobody. `random` spreads the
// reads of daemons that start at the same moment.
[[nodiscard]] constexpr milliseconds StartPause(std::uint32_t random) {
  return kStartPause +
         kStartPause / 2 * static_cast<milliseconds::rep>(random % 1024) / 1024;
}

// `random` spreads the renewals, since a change wakes all daemons at the same
// time. `paused` is the time since the last answer.
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
