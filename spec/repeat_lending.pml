/*
 * Repeats of a fleet whose daemons lend each other budget: a lender, the root
 * of the tree that passes tokens on, and a borrower. Each daemon's account is
 * independent of the others, so one is modelled: the lender's. It earns NORMAL
 * repeats with each request, which stay good for a window, and a reserve; for
 * COUNTED ticks after a restart, it earns only STARTING. RATIO is the
 * operator's limit. With more levels in the tree, HOLD has the waits of each.
 *
 * Reports and grants may be lost, or wait for any time. A receiver subtracts
 * the wait that it measures, which may be less than the true one. The root and
 * the lender may restart, and then know nothing of before.
 *
 * What must hold whenever somebody spends on the account: in the window that
 * ends then, no more was spent on it than the share of the reserve and NORMAL
 * for each request of the busiest window that ended in the HOLD before or now.
 * If the lender has restarted, a share for each life, and RATIO for each request of the
 * busiest window since a window and HOLD earlier: with an even load, RATIO for
 * each request of any window.
 *
 * NO_X takes out guard X. GOAL_X must be reached. GOAL_EARNED_EARLIER and
 * GOAL_EARNED_BEFORE_RESTART show why what must hold isn't stricter: what is
 * spent in a window may exceed what was earned in just that window, without a
 * restart since tokens are spent later than they are lent, and with one since
 * spending from before, earned in an earlier window, is in it as well.
 */

/* bounds: window 2 ticks, validity 1, waits unnoticed for 1 a hop, 1 token out, 1 request a tick */
#define WINDOW 2
#define VALID 1
#define UNNOTICED 1        /* Of a frame's wait; one each for report and grant. */
#define HOLD 3             /* VALID + 2 * UNNOTICED: when the last is spent. */
#define COUNTED 5          /* WINDOW + HOLD */
#define SPAN 7             /* 2 * WINDOW + HOLD */
#define SHARE 1            /* Of the reserve, for each life of the lender. */
#define TOKENS 1
#define RATIO 4            /* Repeats for a request that the operator allows. */
#define NORMAL 3
#define STARTING 1         /* NORMAL + STARTING = RATIO */

#define NOWHERE 0
#define REPORTED 1         /* In a frame from the lender to the root. */
#define POOLED 2           /* At the root. */
#define GRANTED 3          /* In a frame from the root to the borrower. */
#define BORROWED 4

/* By age in ticks; 0 is the current one. */
byte requests[SPAN];
byte spent[WINDOW];        /* On the account, by whomever. */
byte since_restart = COUNTED;
byte restarts;             /* Of the lender, until COUNTED after the last one. */

/* The lender's memory, likewise. */
byte known_requests[WINDOW];
byte own[WINDOW];
byte lent[COUNTED];

byte place[TOKENS];
byte wait[TOKENS];         /* Of the frame that it is in. */
byte left[TOKENS];         /* Ticks that its holder believes it to be valid. */
byte i;
byte measured;

#define RECENT(of) (of[0] + of[1])
#ifdef NO_LENT_OUTLIVES_WINDOW
#define LENT RECENT(lent)
#else
#ifdef NO_LENT_OUTLIVES_WAITS
#define LENT (RECENT(lent) + lent[2])
#else
#define LENT (RECENT(lent) + lent[2] + lent[3] + lent[4])
#endif
#endif
#define RESTARTED (since_restart < COUNTED)
#ifdef NO_STARTS_WITH_PART
#define PER_REQUEST NORMAL
#else
#define PER_REQUEST (RESTARTED -> STARTING : NORMAL)
#endif
#define MAY_SPEND (RECENT(own) + LENT < SHARE + PER_REQUEST * RECENT(known_requests))

/* The busiest window has 0, 1 or 2 requests, of which each tick has one at most. */
#define BOTH(age) (requests[age] && requests[age + 1])
#define ANY (requests[0] || requests[1] || requests[2] || requests[3] || requests[4])
#define BUSIEST (BOTH(0) || BOTH(1) || BOTH(2) || BOTH(3) -> 2 : (ANY -> 1 : 0))
#define ANY_LONG (ANY || requests[5] || requests[6])
#define BUSIEST_LONG (BUSIEST == 2 || BOTH(4) || BOTH(5) -> 2 : (ANY_LONG -> 1 : 0))

inline spend() {
  spent[0]++;
  assert(RESTARTED || RECENT(spent) <= SHARE + NORMAL * BUSIEST);
  assert(RECENT(spent) <= (1 + restarts) * SHARE + RATIO * BUSIEST_LONG);
#ifdef GOAL_EARNED_EARLIER
  assert(RESTARTED || RECENT(spent) <= SHARE + NORMAL * RECENT(requests));
#endif
#ifdef GOAL_EARNED_BEFORE_RESTART
  assert(RECENT(spent) <= (1 + restarts) * SHARE + RATIO * RECENT(requests));
#endif
}

/* The token's frame is there after `wait`, of which `measured` is subtracted. */
inline arrive(next) {
#ifdef NO_TRANSIT_SUBTRACTED
  measured = 0;
#endif
  if
#ifndef NO_EXPIRED_DROPPED
  :: measured > left[i] -> place[i] = NOWHERE; left[i] = 0
#endif
  :: else ->
     if :: measured > left[i] -> left[i] = 0 :: else -> left[i] = left[i] - measured fi;
     place[i] = next
  fi;
  wait[i] = 0; measured = 0
}

inline lose() {
  place[i] = NOWHERE; wait[i] = 0; left[i] = 0
}

inline lend() {
  lent[0]++; place[i] = REPORTED; left[i] = VALID
}

inline report_arrives() {
  if
  :: measured = wait[i]
#ifdef NO_ANSWERED_BEFORE
  /* The first frame of a new link is taken for one that didn't wait. */
  :: measured = 0
#else
  /* An earlier report was answered within UNNOTICED, so the receiver knows the
   * clocks' offset that exactly. */
  :: wait[i] >= UNNOTICED -> measured = wait[i] - UNNOTICED
#endif
  fi;
  arrive(POOLED)
}

/* The borrower's report left it before the grant left the root: by its own
 * clock, the round trip is at least the grant's wait. */
inline grant_arrives() {
  if
#ifndef NO_LATE_GRANT_DROPPED
  :: wait[i] > UNNOTICED -> lose()
#endif
  :: else ->
     if
     :: measured = wait[i]
     :: measured = 0
     fi;
     arrive(BORROWED)
  fi
}

/* A frame of the lender's is neither answered nor known to be lost. */
inline give_up() {
#ifdef NO_LOST_STAY_COUNTED
  if
  :: lent[0] > 0 -> lent[0]--
  :: lent[0] == 0 && lent[1] > 0 -> lent[1]--
  :: else
  fi;
#endif
  skip
}

inline age_token() {
  if
  :: place[i] == REPORTED || place[i] == GRANTED ->
     if :: wait[i] < HOLD -> wait[i]++ :: else fi
  :: place[i] == POOLED || place[i] == BORROWED ->
     if
     :: left[i] > 0 -> left[i]--
#ifdef NO_EXPIRED_DROPPED
     :: else
#else
     :: else -> lose()
#endif
     fi
  :: else
  fi
}

inline tick() {
  requests[6] = requests[5]; requests[5] = requests[4]; requests[4] = requests[3];
  requests[3] = requests[2]; requests[2] = requests[1]; requests[1] = requests[0];
  requests[0] = 0;
  lent[4] = lent[3]; lent[3] = lent[2]; lent[2] = lent[1]; lent[1] = lent[0];
  lent[0] = 0;
  spent[1] = spent[0]; spent[0] = 0;
  own[1] = own[0]; own[0] = 0;
  known_requests[1] = known_requests[0]; known_requests[0] = 0;
  if :: RESTARTED -> since_restart++ :: else fi;
  if :: RESTARTED :: else -> restarts = 0 fi;
  i = 0; age_token();
  i = 0
}

/* Twice in a row: remembered requests would earn STARTING in each life. */
inline restart_lender() {
  own[0] = 0; own[1] = 0;
  lent[0] = 0; lent[1] = 0; lent[2] = 0; lent[3] = 0; lent[4] = 0;
#ifndef NO_RESTART_FORGETS_REQUESTS
  known_requests[0] = 0; known_requests[1] = 0;
#endif
  since_restart = 0;
  restarts++
}

inline restart_root() {
  i = 0; if :: place[i] == POOLED -> lose() :: else fi;
  i = 0
}

/* A step of token `number`. */
inline step(number) {
  i = number;
  if
  :: place[i] == NOWHERE && MAY_SPEND -> lend()
  :: place[i] == REPORTED -> report_arrives()
  :: place[i] == REPORTED -> give_up()
  :: place[i] == REPORTED || place[i] == GRANTED -> lose()
  :: place[i] == POOLED -> place[i] = GRANTED
  :: place[i] == POOLED -> lose(); spend()
#ifdef NO_GRANTED_ONCE
  :: place[i] == POOLED -> place[i] = GRANTED; spend()
#endif
  :: place[i] == GRANTED -> grant_arrives()
  :: place[i] == BORROWED -> lose(); spend();
#ifdef GOAL_BORROWED_SPENT
     assert(false)
#endif
  :: else
  fi;
  i = 0
}

active proctype system() {
  do
  :: atomic { true -> tick() }
  :: atomic { requests[0] == 0 -> requests[0] = 1; known_requests[0] = 1 }
  :: atomic { MAY_SPEND -> own[0]++; spend() }
  :: atomic { true -> step(0) }
  :: atomic { restarts < 2 -> restart_lender() }
  :: atomic { true -> restart_root() }
  od
}
