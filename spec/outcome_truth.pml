/*
 * Truth of the three outcomes over a call tree: a root call is tried at up to
 * two mid targets, each of which calls two leaf targets in turn. A request that
 * was sent may start at any later moment, also after its sender has stopped
 * waiting, since it may stand in a queue, a paused daemon or the network.
 *
 * What must hold: a caller that was told "not executed" sees nothing run, at
 * any depth, then or later; and "completed" means that it ran.
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 2 levels of targets, 2 tries at each, 6 targets */
#define TRIES 2

/* Results and answers. */
#define NOTHING 0 /* Not known yet. */
#define NOT_RUN 1
#define COMPLETED 2
#define UNKNOWN 3

/* States of a request at a target. */
#define IDLE 0
#define SENT 1
#define SERVED 2
#define ENDED 3

/* Whether the manifest says that a target's own 503 means it ran nothing. If
   it doesn't, such a target may have run. */
bit refusal_is_not_run;

byte root_tries = 0;
byte root_result[TRIES];
byte told = NOTHING;

byte mid[2];
byte mid_answer[2];
byte mid_tries[2];
byte mid_child[2];   /* Outcome of the child call; with tries, open if NOTHING. */
byte child_result[4];

byte leaf[4];
byte leaf_answer[4];

bit ran = 0;         /* Anything ran, anywhere. */
byte n;
byte k;

#ifdef NO_TIMEOUT_IS_UNKNOWN
#define TIMED_OUT NOT_RUN
#else
#define TIMED_OUT UNKNOWN
#endif

#ifdef NO_CRASH_IS_UNKNOWN
#define CRASHED NOT_RUN
#else
#define CRASHED UNKNOWN
#endif

/* The outcome of a call from the results of its tries. */
inline combine(into, tries, first, second) {
  if
  :: first == COMPLETED || (tries == 2 && second == COMPLETED) ->
     into = COMPLETED
#ifdef NO_EVERY_ATTEMPT
  :: else -> into = (tries == 2 -> second : first)
#else
  :: else ->
     into = ((first == NOT_RUN && (tries == 1 || second == NOT_RUN)) ->
             NOT_RUN : UNKNOWN)
#endif
  fi
}

#define ROOT_WAITS \
  (root_tries > 0 && root_result[root_tries - 1] == NOTHING)
#define CHILD_WAITS \
  (mid_tries[n] > 0 && child_result[2 * n + mid_tries[n] - 1] == NOTHING)
#define OPEN_CHILD (mid_tries[n] > 0 && mid_child[n] == NOTHING)
#define CHILD_RAN (mid_child[n] == COMPLETED || mid_child[n] == UNKNOWN)

#ifdef NO_OPEN_CHILD_MAY_RUN
#define OPEN_CHILD_COUNTS false
#else
#define OPEN_CHILD_COUNTS OPEN_CHILD
#endif
#ifdef NO_CHILD_RAN
#define CHILD_RAN_COUNTS false
#else
#define CHILD_RAN_COUNTS CHILD_RAN
#endif
#ifdef NO_REFUSAL_FLAG
#define TRUST_REFUSAL true
#else
#define TRUST_REFUSAL refusal_is_not_run
#endif

inline root_step() {
  if
  :: told == NOTHING && root_tries < TRIES && !ROOT_WAITS ->
     mid[root_tries] = SENT; root_tries++
  :: ROOT_WAITS && mid_answer[root_tries - 1] != NOTHING ->
     root_result[root_tries - 1] = mid_answer[root_tries - 1]
  :: ROOT_WAITS -> root_result[root_tries - 1] = TIMED_OUT
  :: told == NOTHING && root_tries > 0 && !ROOT_WAITS ->
     combine(told, root_tries, root_result[0], root_result[1]);
#ifdef GOAL_COMPLETED
     assert(told != COMPLETED)
#endif
#ifdef GOAL_NOT_RUN_AT_DEPTH
     assert(told != NOT_RUN || mid_tries[0] < 2 || mid_child[0] != NOT_RUN)
#endif
  fi
}

inline mid_step() {
  if
  :: mid[n] == SENT -> mid[n] = ENDED; mid_answer[n] = NOT_RUN
  :: mid[n] == SENT -> mid[n] = SERVED
  /* The child call of a target that serves; its tries may outlive that. */
  :: mid[n] == SERVED && mid_child[n] == NOTHING && mid_tries[n] < TRIES &&
     !CHILD_WAITS ->
     leaf[2 * n + mid_tries[n]] = SENT; mid_tries[n]++
  :: CHILD_WAITS && leaf_answer[2 * n + mid_tries[n] - 1] != NOTHING ->
     child_result[2 * n + mid_tries[n] - 1] =
         leaf_answer[2 * n + mid_tries[n] - 1]
  :: CHILD_WAITS -> child_result[2 * n + mid_tries[n] - 1] = TIMED_OUT
  :: mid_tries[n] > 0 && mid_child[n] == NOTHING && !CHILD_WAITS ->
     combine(mid_child[n], mid_tries[n], child_result[2 * n],
             child_result[2 * n + 1])
  /* The target answers, whether its child call is over or not. */
  :: mid[n] == SERVED -> ran = 1; mid[n] = ENDED; mid_answer[n] = COMPLETED
  :: mid[n] == SERVED -> ran = 1; mid[n] = ENDED; mid_answer[n] = CRASHED
  /* The target answers 503. */
  :: mid[n] == SERVED ->
     if
     :: !refusal_is_not_run -> ran = 1
     :: true
     fi;
     mid[n] = ENDED;
     mid_answer[n] =
         ((TRUST_REFUSAL && !OPEN_CHILD_COUNTS && !CHILD_RAN_COUNTS) ->
          NOT_RUN : UNKNOWN)
  fi
}

inline leaf_step() {
  if
  :: leaf[k] == SENT -> leaf[k] = ENDED; leaf_answer[k] = NOT_RUN
  :: leaf[k] == SENT -> leaf[k] = ENDED; leaf_answer[k] = COMPLETED; ran = 1
  :: leaf[k] == SENT -> leaf[k] = ENDED; leaf_answer[k] = CRASHED; ran = 1
  fi
}

active proctype system() {
  if
  :: refusal_is_not_run = 0
  :: refusal_is_not_run = 1
  fi;
  do
  :: atomic { root_step() }
  :: atomic { if :: n = 0 :: n = 1 fi;
       if
       :: mid_step()
       :: else
       fi;
       n = 0;
       assert(!(told == NOT_RUN && ran) && !(told == COMPLETED && !ran)) }
  :: atomic { if :: k = 0 :: k = 1 :: k = 2 :: k = 3 fi;
       if
       :: leaf_step()
       :: else
       fi;
       k = 0;
       assert(!(told == NOT_RUN && ran)) }
  od
}
