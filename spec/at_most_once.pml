/*
 * At-most-once execution of one key by its home and two executors.
 *
 * The network is a set of messages that were ever sent. Delivering one leaves
 * it there, so every message may be lost, doubled, late and out of order, which
 * also covers partitions, connections that have gone silent, paused daemons and
 * callers that send again through another daemon: at any moment a copy of the
 * caller's request may reach the home, and a copy of any attempt or cancel its
 * executor. Home and executors may crash at any moment and start again with
 * empty memory and a new incarnation.
 *
 * One step of the model is what the code does under one lock. The executor's
 * window of acceptable epochs is one epoch here and two in the code.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail: it shows that the model can get there at all.
 */

/* bounds: 1 key, 2 executors, 3 attempts, 1 crash of each daemon, 2 epochs */
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 3
#endif
#define EXECUTORS 2
#define MAX_EPOCH 2
#define MAX_CRASHES 1  /* Of each daemon. */

/* Records of an attempt at its executor. */
#define NONE 0
#define QUEUED 1
#define RUNNING 2
#define DONE 3
#define REFUSED 4  /* Refused or cancelled: a tombstone. */

/* States of the key at its home. */
#define ISSUED 0
#define SENT 1
#define GAVE_UP 2
#define TOLD_DONE 3
#define TOLD_REFUSED 4
#define FORGOTTEN 5

/* Attempts that were ever sent; attempt a is for one executor alone. */
byte attempts = 0;
byte at_executor[MAX_ATTEMPTS];
byte at_incarnation[MAX_ATTEMPTS];
byte at_epoch[MAX_ATTEMPTS];
byte at_home[MAX_ATTEMPTS];  /* The home's incarnation. */
bit at_cancel[MAX_ATTEMPTS]; /* A cancel was sent. */
byte record[MAX_ATTEMPTS];   /* At the executor. */

/* Answers that were ever sent, by attempt. */
bit ans_done[MAX_ATTEMPTS];
bit ans_refused[MAX_ATTEMPTS];
bit ans_stale[MAX_ATTEMPTS];
bit ans_busy[MAX_ATTEMPTS];
bit ans_other[MAX_ATTEMPTS]; /* A refusal by another incarnation. */

byte incarnation[EXECUTORS];
byte epoch[EXECUTORS];

byte home_incarnation = 0;  /* The key was issued by incarnation 0. */
byte home = ISSUED;
byte current = 0;           /* The attempt that the home is at. */

byte ran = 0;               /* Executions, anywhere, ever. */
bit told_done = 0;          /* A caller was told "completed". */
bit told_not = 0;           /* A caller was told "not executed". */

byte a;
byte e;

inline new_attempt(executor) {
  current = attempts;
  at_executor[current] = executor;
  at_incarnation[current] = incarnation[executor];
  at_epoch[current] = epoch[executor];
  at_home[current] = home_incarnation;
  attempts++;
  home = SENT
}

/* The home takes the answer for a definite not-executed. */
inline definite() {
  if
  :: home == SENT && attempts < MAX_ATTEMPTS ->
     new_attempt(1);
#ifdef GOAL_MOVED
     assert(false)
#endif
  :: home == SENT && attempts < MAX_ATTEMPTS -> new_attempt(0)
  :: home = TOLD_REFUSED; told_not = 1
  fi
}

inline forget_records(executor, all) {
  a = 0;
  do
  :: a < MAX_ATTEMPTS ->
     if
     :: a < attempts && at_executor[a] == executor &&
        (all || record[a] == DONE || record[a] == REFUSED) -> record[a] = NONE
     :: else
     fi;
     a++
  :: else -> break
  od;
  a = 0
}

#define HOME_LIVES (home_incarnation == 0)
#define WAITS ((home == SENT || home == GAVE_UP) && \
               at_home[current] == home_incarnation)
#define SAME_INCARNATION (at_incarnation[a] == incarnation[at_executor[a]])
#define SAME_EPOCH (at_epoch[a] == epoch[at_executor[a]])

#ifdef NO_EXECUTOR_INCARNATION
#define INCARNATION_OK true
#else
#define INCARNATION_OK SAME_INCARNATION
#endif
#ifdef NO_EXECUTOR_EPOCH
#define EPOCH_OK true
#else
#define EPOCH_OK SAME_EPOCH
#endif

inline home_step() {
  if
  /* A copy of the caller's request arrives, and the home has it begin. Without
     the guard a new incarnation takes the old one's key for its own. */
#ifdef NO_HOME_INCARNATION
  :: home == ISSUED && attempts < MAX_ATTEMPTS -> new_attempt(0)
  :: home == ISSUED && attempts < MAX_ATTEMPTS -> new_attempt(1)
#else
  :: home == ISSUED && HOME_LIVES && attempts < MAX_ATTEMPTS -> new_attempt(0)
#endif
#ifdef NO_HOME_JOIN
  :: home == SENT && attempts < MAX_ATTEMPTS -> new_attempt(1)
#endif
#ifdef NO_FINAL_REFUSAL
  :: home == TOLD_REFUSED && attempts < MAX_ATTEMPTS -> new_attempt(0)
#endif
  /* Somebody refuses the request before it began, and asks the home first. */
  :: home == ISSUED && HOME_LIVES -> home = TOLD_REFUSED; told_not = 1
#ifdef NO_HOME_HAS_LAST_WORD
  /* A daemon that relays a copy refuses it by itself. */
  :: !told_not -> told_not = 1
#endif
  /* Silence. */
  :: home == SENT -> home = GAVE_UP; at_cancel[current] = 1
  :: home == SENT && !at_cancel[current] -> at_cancel[current] = 1
  /* No connection can be made for a copy. Each attempt here has a copy under
     way already, so that says nothing; one that has none is like no attempt. */
#ifdef NO_ONLY_COPY
  :: home == SENT -> definite()
#endif
#ifdef NO_MOVE_ON_DEFINITE
  :: home == SENT && attempts < MAX_ATTEMPTS -> new_attempt(1)
#endif
  /* A caller that was told unknown asks again, and so does the home. */
  :: home == GAVE_UP && WAITS -> home = SENT
  /* Answers. */
  :: WAITS && ans_done[current] -> home = TOLD_DONE; told_done = 1;
#ifdef GOAL_COMPLETED
     assert(false)
#endif
  :: WAITS && ans_refused[current] -> definite()
  :: WAITS && ans_stale[current] ->
#ifdef NO_STALE_NOT_DEFINITE
     definite()
#else
     home = GAVE_UP
#endif
#ifdef NO_BUSY_NOT_DEFINITE
  :: WAITS && ans_busy[current] -> definite()
#endif
#ifdef NO_ANSWER_INCARNATION
  :: WAITS && ans_other[current] -> definite()
#endif
  /* The record is dropped, to make room or because it is old. */
  :: home == TOLD_DONE || home == TOLD_REFUSED || home == GAVE_UP ->
#ifdef NO_FORGOTTEN_KEY
     home = ISSUED
#else
     home = FORGOTTEN
#endif
  /* A crash, and a start with empty memory. */
  :: home_incarnation < MAX_CRASHES -> home_incarnation++; home = ISSUED
  fi
}

inline executor_step() {
  if
  /* A copy of attempt a arrives. */
  :: record[a] == NONE && !(INCARNATION_OK && EPOCH_OK) -> ans_stale[a] = 1
  :: record[a] == NONE && INCARNATION_OK && EPOCH_OK -> record[a] = QUEUED
  :: record[a] == NONE && INCARNATION_OK && EPOCH_OK -> ans_busy[a] = 1
  :: !SAME_INCARNATION -> ans_other[a] = 1
#ifdef NO_EXECUTOR_DEDUP
  :: record[a] != NONE -> record[a] = QUEUED
#endif
  /* The queue hands it out, or the executor refuses it. */
  :: record[a] == QUEUED -> record[a] = RUNNING; ran++
  :: record[a] == QUEUED -> ans_refused[a] = 1;
#ifdef NO_REFUSAL_TOMBSTONE
     record[a] = NONE
#else
     record[a] = REFUSED
#endif
  :: record[a] == RUNNING -> record[a] = DONE; ans_done[a] = 1
  /* A cancel arrives. */
  :: at_cancel[a] && record[a] == NONE && INCARNATION_OK && EPOCH_OK ->
     ans_refused[a] = 1;
#ifndef NO_CANCEL_TOMBSTONE
     record[a] = REFUSED
#endif
  :: at_cancel[a] && record[a] == QUEUED -> ans_refused[a] = 1;
#ifndef NO_START_CHECK
     record[a] = REFUSED
#endif
  fi
}

inline executor_clock() {
  if
  :: epoch[e] < MAX_EPOCH -> epoch[e]++; forget_records(e, false)
  :: incarnation[e] < MAX_CRASHES ->
     incarnation[e]++; epoch[e] = 0; forget_records(e, true)
  fi
}

active proctype system() {
  do
  :: atomic { home_step();
       assert(ran <= 1 && !(told_not && ran > 0) && !(told_done && ran == 0)) }
  :: atomic { attempts > 0 ->
       if
       :: a = 0
       :: attempts > 1 -> a = 1
       :: attempts > 2 -> a = 2
       fi;
       if
       :: executor_step()
       :: else
       fi;
       a = 0;
#ifdef GOAL_RAN_AFTER_MOVE
       assert(!(ran == 1 && attempts == 2 && record[1] == DONE));
#endif
       assert(ran <= 1 && !(told_not && ran > 0)) }
  :: atomic { if :: e = 0 :: e = 1 fi;
       if
       :: executor_clock()
       :: else
       fi;
       e = 0 }
  od
}
