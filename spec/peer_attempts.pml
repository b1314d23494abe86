/*
 * Attempts that one daemon sends to the daemon beside a target, and its
 * questions about them after a connection was lost.
 *
 * What was sent stays deliverable at any later moment, again and again, as long
 * as the receiver's incarnation is the one it was sent to: bytes may be held up
 * by a cut for as long as their connection lives, and may come doubled when a
 * sender repeats them. Whatever is not delivered is lost, reset or silent. The
 * receiver may crash at any moment and start again with empty memory; what its
 * target had begun may have run. A sender that is told "not executed" sends the
 * request elsewhere; a sender that crashes asks no more, which is the same as
 * never being answered.
 *
 * The second attempt goes over a link that was made anew.
 *
 * NO_X takes out guard X. GOAL_X asserts that a good end is never reached, and
 * so must fail: it shows that the model can get there at all.
 */

/* bounds: 1 sender, 2 attempts, 2 incarnations of the receiver */
#define ATTEMPTS 2
#define MAX_INCARNATION 2

/* Records at the receiver, by number. */
#define NONE 0
#define RUNNING 1
#define DONE 2
#define REFUSED 3

/* What the sender knows of an attempt. */
#define UNSENT 0
#define SENT 1
#define TOLD_DONE 2
#define TOLD_REFUSED 3
#define UNKNOWN 4

byte incarnation = 1;
byte record[ATTEMPTS];   /* By number; of the present incarnation. */
byte owner[ATTEMPTS];    /* Which attempt made the record: its own, plus one. */
byte settled_below = 0;

byte state[ATTEMPTS];    /* By attempt. */
byte number[ATTEMPTS];   /* That the link gave it. */
byte sent_to[ATTEMPTS];  /* Incarnation. */
bit asked[ATTEMPTS];
byte asked_of[ATTEMPTS];
byte runs[ATTEMPTS];     /* At the target, over all incarnations. */

/* Answers on their way, by attempt: who made them. */
bit ans_refused[ATTEMPTS];
byte ans_done[ATTEMPTS]; /* The owner of the answer, plus one. */

inline check() {
  assert(runs[0] <= 1 && runs[1] <= 1);
  assert(!(state[0] == TOLD_REFUSED && runs[0] > 0));
  assert(!(state[1] == TOLD_REFUSED && runs[1] > 0));
#ifdef GOAL_DONE_AFTER_ASKING
  assert(!(state[0] == TOLD_DONE && asked[0]));
#endif
#ifdef GOAL_REFUSED_AFTER_ASKING
  assert(!(state[1] == TOLD_REFUSED && asked[1]));
#endif
}

inline send(a) {
  atomic {
    state[a] == UNSENT ->
    state[a] = SENT;
    sent_to[a] = incarnation;
#ifdef NO_SHARED_NUMBERS
    number[a] = 0;
#else
    number[a] = a;
#endif
  }
}

/* The bytes of attempt a arrive, for the first time or again. */
inline arrive(a) {
  atomic {
    state[a] != UNSENT && sent_to[a] == incarnation ->
    if
#ifndef NO_SETTLED_BELOW
    :: number[a] < settled_below -> ans_refused[a] = 1
    :: number[a] >= settled_below && record[number[a]] == NONE ->
#else
    :: record[number[a]] == NONE ->
#endif
       record[number[a]] = RUNNING;
       owner[number[a]] = a + 1;
       runs[a]++
    :: record[number[a]] == RUNNING ->
#ifdef NO_ATTEMPT_DEDUP
       runs[a]++
#else
       skip
#endif
    :: record[number[a]] == DONE -> ans_done[a] = owner[number[a]]
    :: record[number[a]] == REFUSED -> ans_refused[a] = 1
    fi;
    check()
  }
}

inline finish(n) {
  atomic {
    record[n] == RUNNING ->
    record[n] = DONE;
    ans_done[owner[n] - 1] = owner[n]
  }
}

/* Over a new connection, to whichever incarnation welcomes it. */
inline ask(a) {
  atomic {
    state[a] == SENT && !asked[a] ->
    if
#ifndef NO_RECEIVER_INCARNATION
    :: sent_to[a] != incarnation -> state[a] = UNKNOWN
    :: sent_to[a] == incarnation ->
#else
    :: true ->
#endif
       asked[a] = 1;
       asked_of[a] = incarnation
    fi
  }
}

inline question_arrives(a) {
  atomic {
    asked[a] && asked_of[a] == incarnation && number[a] >= settled_below ->
    if
    :: record[number[a]] == NONE || record[number[a]] == REFUSED ->
#ifndef NO_ASK_TOMBSTONE
       record[number[a]] = REFUSED;
#endif
       ans_refused[a] = 1
    :: record[number[a]] == DONE -> ans_done[a] = owner[number[a]]
    :: record[number[a]] == RUNNING -> skip
    fi
  }
}

inline hear(a) {
  atomic {
    if
    :: state[a] == SENT && ans_refused[a] -> state[a] = TOLD_REFUSED
    :: state[a] == SENT && ans_done[a] > 0 ->
       /* Each caller gets the answer to its own request. */
       assert(ans_done[a] == a + 1);
       state[a] = TOLD_DONE
    fi;
    check()
  }
}

/* The sender has answers to all below its second attempt and says so. */
inline settle() {
  atomic {
    state[0] == TOLD_DONE && settled_below == 0 && sent_to[0] == incarnation ->
    settled_below = 1;
    record[0] = NONE;
    owner[0] = 0
  }
}

inline crash() {
  atomic {
    incarnation < MAX_INCARNATION ->
    incarnation++;
    record[0] = NONE;
    record[1] = NONE;
    owner[0] = 0;
    owner[1] = 0;
    settled_below = 0;
    /* Answers on its connections are gone with them. */
    ans_done[0] = 0;
    ans_done[1] = 0;
    ans_refused[0] = 0;
    ans_refused[1] = 0
  }
}

active proctype daemons() {
end:
  do
  :: send(0)
  :: send(1)
  :: arrive(0)
  :: arrive(1)
  :: finish(0)
  :: finish(1)
  :: ask(0)
  :: ask(1)
  :: question_arrives(0)
  :: question_arrives(1)
  :: hear(0)
  :: hear(1)
#ifndef NO_SHARED_NUMBERS
  :: settle()
#endif
  :: crash()
  od
}
