/*
 * Versions of one manifest in a fleet of three daemons. The platform serves
 * versions 1 and 2, and may be stale at any time after 2 came out. Daemons tell
 * each other what they know in datagrams that may be lost, doubled and late.
 * They restart with empty memory, and are paused and wake up later.
 *
 * What must hold: once version 2 was in force on all daemons that run, no
 * daemon acts on version 1 any more. A daemon that starts, or wakes up, has no
 * history; it acts only after it has heard, in answer to its own question, from
 * a peer that has one. (What a fleet does in which nobody has a history left is
 * outside this model: it can only stop or trust the platform.)
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 3 daemons, 2 versions, 1 restart and 1 pause of each */
#define DAEMONS 3
#define OTHER(i, by) ((i + by) % DAEMONS)

byte known[DAEMONS];    /* The newest version heard of; 0 is none. */
bit history[DAEMONS];   /* Acts on what it knows. */
bit heard[DAEMONS];     /* A peer with a history has answered its question. */
bit paused[DAEMONS];
bit restarted[DAEMONS]; /* Each once. */
bit was_paused[DAEMONS];
bit released = 0;       /* Version 2 is out. */
bit spread_1 = 0;       /* A datagram with the version was ever sent. */
bit spread_2 = 0;
bit accepted = 0;       /* Version 2 was in force on all that run. */

byte i;
byte j;

#ifdef NO_VERSION_RISES
#define LEARN(v) known[i] = v
#else
#define LEARN(v) known[i] = (known[i] > v -> known[i] : v)
#endif

#define IN_FORCE(x) (paused[x] || (history[x] && known[x] == 2))
#define ACTS_ON_OLD(x) (history[x] && !paused[x] && known[x] < 2)
#define OTHERS_HAVE_HISTORY (history[OTHER(i, 1)] || history[OTHER(i, 2)])

inline step() {
  if
  :: !paused[i] && known[i] == 1 -> spread_1 = 1
  :: !paused[i] && known[i] == 2 -> spread_2 = 1
  :: !paused[i] && spread_1 -> LEARN(1)
  :: !paused[i] && spread_2 -> LEARN(2)
  /* A read at the platform. */
  :: !paused[i] -> LEARN(1)
  :: !paused[i] && released -> LEARN(2)
  /* A newcomer's question, answered at once by the peer that is asked. */
  :: !paused[i] && !history[i] && !paused[j] &&
#ifndef NO_NEWCOMER_HISTORY
     history[j] &&
#endif
     known[j] > 0 -> LEARN(known[j]); heard[i] = 1
#ifdef NO_NEWCOMER_ASKS
  /* Any datagram counts, however old. */
  :: !paused[i] && !history[i] && spread_1 -> LEARN(1); heard[i] = 1
#endif
  :: !paused[i] && !history[i] && known[i] > 0 &&
#ifndef NO_NEWCOMER
     heard[i] &&
#endif
     true -> history[i] = 1
  /* Restart with empty memory. */
  :: !restarted[i] && OTHERS_HAVE_HISTORY ->
     restarted[i] = 1; paused[i] = 0; known[i] = 0; history[i] = 0; heard[i] = 0
  /* Pause and waking up. */
  :: !was_paused[i] && !paused[i] && OTHERS_HAVE_HISTORY ->
     paused[i] = 1; was_paused[i] = 1;
#ifndef NO_REFRESH_AFTER_PAUSE
     history[i] = 0;
#endif
     heard[i] = 0
  :: paused[i] -> paused[i] = 0
  :: !released -> released = 1
  fi
}

active proctype system() {
  known[0] = 1; known[1] = 1; known[2] = 1;
  history[0] = 1; history[1] = 1; history[2] = 1;
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if :: j = OTHER(i, 1) :: j = OTHER(i, 2) fi;
       if
       :: step()
       :: else
       fi;
       i = 0; j = 0;
       if
       :: IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2) &&
          !(paused[0] && paused[1] && paused[2]) -> accepted = 1
       :: else
       fi;
#ifdef GOAL_ACCEPTED
       assert(!(accepted && restarted[0] && history[0] && was_paused[1] &&
                history[1]));
#endif
       assert(!(accepted && (ACTS_ON_OLD(0) || ACTS_ON_OLD(1) ||
                             ACTS_ON_OLD(2)))) }
  od
}
