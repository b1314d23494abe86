/*
 * A target whose entry vanishes from the store, the daemon beside it that may
 * speak for it, and another daemon that decides whether to use it on.
 *
 * The target may leave with or without a word, end, start again under its id,
 * and its address may go to another one. The target and its daemon lose the
 * store apart from each other: a VM may be cut off, or the store may turn only
 * the daemon away. Entries of targets that can't reach the store run out. The
 * other daemon hears of the store and of the word at any later moment, so what it
 * believes may be old; whoever has both afresh must be right.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail.
 */

/* bounds: 1 target of 2 starts, 1 other target at its address, 1 user */
#define MAX_START 2

bit alive = 1;
bit leaving;        /* Ends its connections behind its answers. */
byte start = 1;
bit target_lost;    /* The target can't reach the store. */
bit daemon_lost;    /* Nor can the daemon beside it. */

byte entry = 1;     /* The start that the store lists; 0 for none. */
bit other_entry;    /* Another target is listed at the address. */

/* What the using daemon believes. */
byte listed = 1;
bit other_listed;
byte removed;       /* The start that vanished from its list. */
byte word;          /* The start that the target's daemon speaks for. */

/* The start that is used although it isn't listed; 0 for none. */
#ifdef NO_SAME_START
#define VOUCHED (word != 0)
#else
#define VOUCHED (word == removed)
#endif
#ifdef NO_ADDRESS_FREE
#define KEPT (removed != 0 && listed == 0 && VOUCHED)
#else
#define KEPT (removed != 0 && listed == 0 && VOUCHED && !other_listed)
#endif

inline read_store() {
  if
  :: listed != 0 && entry != listed -> removed = listed
  :: else
  fi;
  listed = entry;
  other_listed = other_entry;
  if
  :: listed != 0 -> removed = 0
  :: else
  fi
}

inline hear_word() {
  if
#ifdef NO_STORE_LOST
  :: alive && !leaving -> word = start
#else
#ifdef NO_STAYING
  :: alive && daemon_lost -> word = start
#else
  :: alive && !leaving && daemon_lost -> word = start
#endif
#endif
  :: else -> word = 0
  fi
}

active proctype world() {
  do
  :: atomic { !target_lost -> target_lost = 1 }
  :: atomic { !daemon_lost -> daemon_lost = 1 }
  :: atomic { daemon_lost -> daemon_lost = 0 }
  :: atomic { target_lost -> target_lost = 0;
       if :: alive && !leaving -> entry = start :: else fi }
  :: atomic { target_lost && entry != 0 -> entry = 0 }  /* Runs out. */
  :: atomic { !alive && entry != 0 -> entry = 0 }       /* Likewise. */
  :: atomic { alive && !leaving -> leaving = 1;
       if :: !target_lost -> entry = 0 :: else fi }
  :: atomic { alive -> alive = 0 }
  :: atomic { !alive && !other_entry && start < MAX_START ->
       start++; alive = 1; leaving = 0;
       if :: !target_lost -> entry = start :: else fi }
  :: atomic { !alive && !other_entry -> other_entry = 1 }
  od
}

active proctype user() {
  do
  :: atomic { true -> read_store(); assert(!(KEPT && other_listed)) }
  :: atomic { true -> hear_word(); assert(!(KEPT && other_listed)) }
  :: atomic { true ->
       read_store();
       hear_word();
       assert(!KEPT || (alive && !leaving && removed == start && daemon_lost));
#ifdef GOAL_RAN_OUT_AND_KEPT
       assert(!(KEPT && alive && target_lost));
#endif
     }
  od
}
