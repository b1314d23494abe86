/*
 * A daemon that starts, the store, and two neighbours that tell it their views.
 *
 * The store changes; each change may withdraw what was in force before. Neighbours
 * read it at any moment or are cut off from it for as long as they like, so that
 * their views may be old, and they have none before their first reading. What a
 * neighbour tells may be on its way for long. The daemon reads the store at some
 * moment as well, and from then on again and again.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail.
 */

/* bounds: 4 changes, 2 neighbours, 1 told view on its way from each */
#define CHANGES 4

byte store = 1;      /* The newest change. */
byte view[2];        /* Of the neighbours; 0 for none. */
byte on_way[2];      /* Told views; 0 for none. */

byte own;            /* What the daemon has read of the store itself. */
byte told;           /* Of the view that was told, the change. */
byte used;           /* What it believes. */
byte seen;           /* The newest that it ever believed. */

inline believe(what) {
  used = what;
  /* What was withdrawn doesn't come back. */
  assert(used >= seen);
  seen = used
}

active proctype world() {
  do
  :: atomic { store < CHANGES -> store++ }
  :: atomic { view[0] != store -> view[0] = store }
  :: atomic { view[1] != store -> view[1] = store }
#ifdef NO_EMPTY_TELLS_NOTHING
  :: atomic { on_way[0] == 0 -> on_way[0] = view[0] + 1 }
  :: atomic { on_way[1] == 0 -> on_way[1] = view[1] + 1 }
#else
  :: atomic { on_way[0] == 0 && view[0] != 0 -> on_way[0] = view[0] + 1 }
  :: atomic { on_way[1] == 0 && view[1] != 0 -> on_way[1] = view[1] + 1 }
#endif
  od
}

inline hear(i) {
  byte what;
  what = on_way[i] - 1;
  on_way[i] = 0;
  /* An empty view is none to start with. */
  assert(what != 0);
  if
#ifndef NO_STORE_WINS
  :: own != 0
#endif
#ifdef NO_NEWER_ONLY
#ifdef NO_STORE_WINS
  :: true -> told = what; believe(what)
#else
  :: own == 0 -> told = what; believe(what)
#endif
#else
#ifdef NO_STORE_WINS
  :: what > told -> told = what; believe(what)
  :: what <= told
#else
  :: own == 0 && what > told -> told = what; believe(what)
  :: own == 0 && what <= told
#endif
#endif
  fi
}

active proctype daemon() {
  do
  :: atomic { on_way[0] != 0 -> hear(0) }
  :: atomic { on_way[1] != 0 -> hear(1) }
  :: atomic { own != store || used != store -> own = store; believe(store) }
#ifdef GOAL_SERVES_WITHOUT_THE_STORE
  :: atomic { own == 0 && used != 0 -> assert(false) }
#endif
#ifdef GOAL_GETS_NEWER_WITHOUT_THE_STORE
  :: atomic { own == 0 && used == CHANGES && told == CHANGES -> assert(false) }
#endif
  od
}
