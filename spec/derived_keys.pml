/*
 * A protected call that a target makes while it serves another one. The serving
 * call may be bound, and so run once, or not, if a daemon with an older
 * manifest sent it; then it may be tried twice. Each execution has a context.
 * The target sends the protected call as often as it likes, also after its
 * context has ended. Under one key the call runs at most once, which is
 * at_most_once.pml's part.
 *
 * What must hold: the protected call runs at most once, and a copy of it that
 * is told "not executed" means that no copy ran or will.
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 1 protected call, 2 executions of the serving call, any copies */
#define NEVER 0
#define SERVED 1
#define ENDED 2

bit bound;
byte context[2];     /* Of each execution of the serving call. */
bit key[2];          /* The context has a key for the protected call. */
bit ran_under[2];    /* The call ran under the context's key. */
byte ran = 0;
bit told_not[2];     /* A copy sent under the context was told so. */
byte e;

#ifdef NO_PARENT_BOUND
#define MAY_CALL true
#else
#define MAY_CALL bound
#endif

inline step() {
  if
  /* The first try, and a second one if the call may be repeated. */
  :: context[e] == NEVER && (e == 0 || (!bound && context[0] != NEVER)) ->
     context[e] = SERVED
  :: context[e] == SERVED -> context[e] = ENDED
  /* The target sends the protected call. */
  :: context[e] == SERVED && !MAY_CALL -> told_not[e] = 1
  :: context[e] == SERVED && MAY_CALL ->
#ifdef NO_DERIVED_KEY
     ran_under[e] = 0;
#endif
     key[e] = 1
  :: key[e] && !ran_under[e] && ran < 2 -> ran_under[e] = 1; ran++;
#ifdef GOAL_RAN
     assert(false)
#endif
  /* A copy that comes after its context has ended. */
#ifdef NO_ENDED_IS_UNKNOWN
  :: context[e] == ENDED -> told_not[e] = 1
#endif
  fi
}

active proctype system() {
  if
  :: bound = 0
  :: bound = 1
  fi;
  do
  :: atomic { if :: e = 0 :: e = 1 fi;
       if
       :: step()
       :: else
       fi;
       assert(ran <= 1 && !(told_not[e] && ran_under[e]));
       e = 0 }
  od
}
