/*
 * Retry credit over a chain of calls. Each served call makes one call to the
 * next depth, and makes it again after a failure while its ledger has credit.
 * An answer may be lost while the callee goes on and spends what it was lent.
 *
 * What must hold: at each depth the root request is executed at most once more
 * than the root's credit.
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 3 depths below the root's target, credit 2, 4 calls a depth */
#define CREDIT 2
#define DEPTHS 4
#define WIDTH 4      /* One more than the bound, so that a breach shows. */
#define SLOT(d, i) ((d) * WIDTH + (i))

#define NONE 0
#define SERVED 1     /* Its child call isn't under way. */
#define WAITS 2      /* For its child call. */
#define ENDED 3

byte state[16];
byte available[16];  /* The ledger. */
byte lent[16];       /* To the child call under way. */
byte child[16];      /* Its number at the next depth. */
byte calls[DEPTHS];  /* Executions at each depth. */
byte c;              /* The call that takes a step. */
byte d;

inline call_down(first) {
  if
  :: first
  :: !first && available[c] > 0 -> available[c]--
  fi;
  lent[c] = (available[c] + 1) / 2;
#ifndef NO_CREDIT_SPLIT
  available[c] = available[c] - lent[c];
#endif
  assert(calls[d + 1] <= CREDIT);
  child[c] = SLOT(d + 1, calls[d + 1]);
  calls[d + 1]++;
  state[child[c]] = SERVED;
  available[child[c]] = lent[c];
  state[c] = WAITS
}

inline step() {
  if
  :: d + 1 < DEPTHS && state[c] == SERVED && child[c] == 0 -> call_down(true)
  :: d + 1 < DEPTHS && state[c] == SERVED && child[c] != 0 &&
     available[c] > 0 -> call_down(false)
#ifdef NO_ENDED_CONTEXT
  /* A target goes on after its call has ended, under its old context. */
  :: d + 1 < DEPTHS && state[c] == ENDED && available[c] > 0 ->
     call_down(false)
#endif
  :: state[c] == SERVED -> state[c] = ENDED
  /* The child's answer, with what is left in its ledger. */
  :: state[c] == WAITS && state[child[c]] == ENDED ->
     available[c] = available[c] + available[child[c]];
     lent[c] = 0;
     state[c] = SERVED
  /* The answer is lost, or the wait is over. */
  :: state[c] == WAITS ->
#ifdef NO_CREDIT_LOST_WITH_ANSWER
     available[c] = available[c] + lent[c];
#endif
     lent[c] = 0;
     state[c] = SERVED
  fi
}

active proctype system() {
  /* The root's target is called once; the deepest has no calls below it. */
  state[0] = SERVED;
  available[0] = CREDIT;
  calls[0] = 1;
  do
  :: atomic { d = 0; c = 0;
       do
       :: d + 1 < DEPTHS -> d++
       :: break
       od;
       c = SLOT(d, 0);
       do
       :: c + 1 < SLOT(d, calls[d]) -> c++
       :: break
       od;
       if
       :: step()
       :: else
       fi;
       d = 0; c = 0;
#ifdef GOAL_CREDIT_SPENT_DEEP
       assert(calls[DEPTHS - 1] <= CREDIT);
#endif
     }
  od
}
