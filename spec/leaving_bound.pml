/*
 * How long a target that has left stays in use at a daemon in touch, and whether
 * one that lives stays in use while the store, away for all, has lost its entry.
 * Time goes on in ticks of half a second.
 *
 * The target may leave without a word at any moment at which the store serves;
 * its entry vanishes and it serves on. Its entry also runs out while the store
 * is away for all, and is back within two seconds of the store's return. Another
 * daemon, whose way to the store fails for some time of its own, tells of its
 * return. The daemon beside the target speaks for it while its own way to the
 * store is broken. The user is in touch: the store answers a daemon that it
 * hears of at least every second tick, unless the store is away.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail.
 */

/* bounds: 1 target, 1 absence of the store, 1 broken way, 20 ticks */
#define TICKS 20
#define DRAIN 4      /* The bound. */
#define RETURN 4     /* Entries are back so long after the store. */
#define AWAY 5       /* Without an answer for so long the store is away. */
#define RUNS_OUT 6   /* An absence in which entries run out. */
#define HOLDS 3      /* The lease of a word. */
#define ANSWERED 2   /* A word rests on an answer that is as young as this. */
#define LONG 9       /* Any longer time. */
#define OLDER(age) if :: age < LONG -> age++ :: else fi

byte tick;
bit away;            /* The store, for all. */
bit was_away;
byte away_for;
byte back_for = LONG;
bit cut;             /* The other daemon's way to the store, and only that. */
bit was_cut;
byte cut_for;
bit mute;            /* The store turns the daemon beside the target away. */

bit entry = 1;
bit left;
byte left_for;
bit ran_out;

/* What the user believes. */
byte answered;       /* Since the store's newest answer to anybody. */
byte gap;            /* The last such time that ended with an answer. */
byte returned = LONG; /* Since the return that it believes in. */
bit listed = 1;
bit delayed;
byte word = LONG;    /* Since the answer that a word rests on. */

#ifdef NO_LEASE_FROM_ANSWER
byte heard = LONG;   /* Since the word was heard. */
#define VOUCHED (heard <= HOLDS)
#else
#define VOUCHED (word <= HOLDS)
#endif
#define USED (listed || delayed || (VOUCHED && !listed))

inline hear_return() {
#ifdef NO_AWAY_FOR_ALL
  returned = 0
#else
  if
  :: gap >= AWAY -> returned = 0
  :: else
  fi
#endif
}

inline change_world() {
  if
  :: !away && !was_away && !left -> away = 1; was_away = 1; away_for = 0
  :: away && away_for >= RUNS_OUT -> away = 0; back_for = 0
  :: !cut && !was_cut -> cut = 1; was_cut = 1; cut_for = 0
  :: cut && cut_for >= AWAY -> cut = 0;
       if :: !away -> hear_return() :: else fi
  :: !away && !left && entry && back_for > RETURN ->
       left = 1; left_for = 0; entry = 0
  :: mute = 1 - mute
  :: true
  fi;
  if
  :: away && away_for >= RUNS_OUT && entry -> entry = 0; ran_out = 1
  :: true
  fi;
  if
  :: ran_out && !away && back_for >= RETURN - 1 -> entry = 1; ran_out = 0
  :: else
  fi
}

/* The answer that ends an absence is heard of first; so is the return. */
inline learn() {
  if
  :: !away ->
       gap = answered; answered = 0;
       if :: back_for == 0 -> hear_return() :: else fi
  :: away || (answered < 2 && back_for != 0)
  fi;
  if
  :: !away && !entry && listed && (left_for >= 1 || ran_out) ->
       listed = 0;
#ifdef NO_DELAY
       delayed = 0
#else
       delayed = (returned < RETURN)
#endif
  :: entry && !listed && !away -> listed = 1; delayed = 0
  :: else
  fi;
  if
  :: delayed && returned >= RETURN -> delayed = 0
  :: else
  fi
}

inline hear_word() {
  if
  :: mute && !left -> word = 0
#ifdef NO_LEASE_FROM_ANSWER
       ; heard = 0
  /* The last answer before the target left still counts for a while. */
  :: mute && left && left_for <= ANSWERED -> heard = 0
#endif
  :: true
  fi
}

inline pass_time() {
  tick++;
  if :: away -> OLDER(away_for) :: else -> OLDER(back_for) fi;
  if :: cut -> OLDER(cut_for) :: else fi;
  if :: left -> OLDER(left_for) :: else fi;
  OLDER(answered);
  OLDER(returned);
  OLDER(word);
#ifdef NO_LEASE_FROM_ANSWER
  OLDER(heard)
#endif
}

active proctype fleet() {
  do
  :: tick < TICKS -> atomic {
       change_world();
       learn();
       hear_word();
       assert(!(left && left_for >= DRAIN && USED));
       /* A live target whose entry ran out stays in use until it is back. */
       assert(!(ran_out && !left && !away && !USED));
#ifdef GOAL_KEPT_OVER_AN_ABSENCE
       assert(!(ran_out && !away && !listed && delayed));
#endif
       pass_time()
     }
  :: else -> break
  od
}
