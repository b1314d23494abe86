/*
 * A store, two daemons that may read it, and a third that only hears from them.
 *
 * The store changes; each change withdraws what was in force before. A reader
 * reads it at any moment, or not, for as long as it likes. Daemons tell each
 * other what changed behind what the other one knew when it asked, and what is
 * told may be on its way for long, so that it arrives out of order. A daemon that
 * starts knows nothing.
 *
 * What a daemon knows is the set of changes that it has, as bits: a view is whole
 * if it has all up to its newest. Reports carry an age: how many heartbeats ago somebody
 * who reads the store confirmed them. The third daemon reads by itself once no
 * report is young enough.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail.
 */

/* bounds: 3 changes, 3 daemons, 1 told piece on its way to each */
#define CHANGES 3
#define OLD 2
#define ALL(n) ((1 << (n)) - 1)

byte store = 1;        /* The newest change. */
byte newest[3];        /* By daemon: the newest change that it has; 0 for none. */
byte has[3];           /* Which changes, as bits. */
byte seen[3];          /* The newest that it ever had. */

/* On the way to each daemon: changes behind `after` up to `to`; 0 for nothing. */
byte after[3];
byte to[3];

bool reads[2];         /* Whether the first two read the store. */
byte age[3];           /* Heartbeats since somebody who reads confirmed the view. */
bool third_reads;
byte unconfirmed;        /* Heartbeats in which nobody has read the store. */

inline believe(i, upto, bits) {
  newest[i] = upto;
  has[i] = bits;
  /* What was withdrawn doesn't come back, and nothing before is missing. */
  assert(newest[i] >= seen[i]);
  assert(has[i] == ALL(newest[i]));
  seen[i] = newest[i]
}

inline read_store(i) {
  believe(i, store, ALL(store));
  age[i] = 0;
  unconfirmed = 0
}

/* Daemon j tells daemon i what it doesn't know, by what it knew when it asked. */
inline tell(j, i) {
  to[i] == 0 && newest[j] > newest[i] -> after[i] = newest[i]; to[i] = newest[j]
}

#ifdef NO_EMPTY_TELLS_NOTHING
/* A daemon that knows nothing tells that there is nothing. */
inline tell_nothing(j, i) {
  to[i] == 0 && newest[j] == 0 -> after[i] = 0; to[i] = CHANGES + 1
}
#endif

inline take(i) {
  byte upto;
  upto = to[i];
  to[i] = 0;
  /* The whole view of a daemon that knows nothing. */
  assert(upto <= CHANGES);
  if
#ifdef NO_GAPLESS
  :: upto > newest[i] ->
       believe(i, upto, has[i] | (ALL(upto) & ~ALL(after[i])))
#else
  :: upto > newest[i] && after[i] <= newest[i] -> believe(i, upto, ALL(upto))
  :: upto > newest[i] && after[i] > newest[i]
#endif
#ifdef NO_NEWER_ONLY
  :: upto <= newest[i] && upto > 0 && after[i] <= newest[i] ->
       believe(i, upto, ALL(upto))
#else
  :: upto <= newest[i]
#endif
  fi
}

active proctype world() {
  do
  :: atomic { store < CHANGES -> store++ }
  :: atomic { reads[0] -> read_store(0) }
  :: atomic { reads[1] -> read_store(1) }
  :: atomic { reads[0] = !reads[0] }
  :: atomic { reads[1] = !reads[1] }
  /* A daemon starts anew, and what was on its way to it is lost. */
  :: atomic { newest[2] != 0 && !third_reads ->
       newest[2] = 0; has[2] = 0; seen[2] = 0; to[2] = 0 }
  od
}

active proctype daemons() {
  do
  :: atomic { tell(0, 1) }
  :: atomic { tell(1, 0) }
  :: atomic { tell(0, 2) }
  :: atomic { tell(1, 2) }
  /* The piece before was lost on its way, and counted as told. */
  :: atomic { to[2] == 0 && newest[0] > newest[2] + 1 ->
       after[2] = newest[2] + 1; to[2] = newest[0] }
#ifdef NO_EMPTY_TELLS_NOTHING
  :: atomic { tell_nothing(1, 2) }
#endif
  :: atomic { to[0] != 0 -> take(0) }
  :: atomic { to[1] != 0 -> take(1) }
  :: atomic { to[2] != 0 -> take(2) }
  od
}

/* A heartbeat: everybody's report grows older, and is heard by the others. */
active proctype heartbeats() {
  byte least;
  do
  :: atomic {
       unconfirmed = ((reads[0] || reads[1] || third_reads) -> 0 :
                    (unconfirmed < 2 * OLD -> unconfirmed + 1 : unconfirmed));
       least = age[0];
       if :: age[1] < least -> least = age[1] :: else fi;
       if :: age[2] < least -> least = age[2] :: else fi;
#ifdef NO_AGE_COUNTS
       /* A report counts as new because it has just been heard. */
       age[0] = 0; age[1] = 0; age[2] = 0;
#else
       if :: least < OLD + 1 -> least++ :: else fi;
       age[0] = (reads[0] -> 0 : least);
       age[1] = (reads[1] -> 0 : least);
       age[2] = (third_reads -> 0 : least);
#endif
#ifdef NO_READS_ALONE
       third_reads = false;
#else
       third_reads = (age[2] > OLD);
#endif
       if :: third_reads -> read_store(2) :: else fi;
       /* Nobody reads, and the third daemon has not noticed. */
       assert(unconfirmed < 2 * OLD || third_reads)
     }
  od
}

#ifdef GOAL_HEARS_WITHOUT_READING
active proctype goal() {
  do
  :: atomic { newest[2] == CHANGES && !third_reads -> assert(false) }
  od
}
#endif
