/*
 * Two calls in turn over one connection of a pool. The exchange on it has no
 * request numbers, so an answer belongs to whichever call reads it.
 *
 * What must hold: a call takes only its own answer.
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 2 calls, 2 connections */
#define CONNECTIONS 2
#define FREE 0

byte owner[CONNECTIONS];   /* The call whose exchange is unfinished. */
byte request[CONNECTIONS]; /* The request that the peer still has to answer. */
byte reply[CONNECTIONS];   /* The answer in the stream, by request. */
bit closed[CONNECTIONS];
byte call = 0;             /* The call that waits; 0 if none does. */
byte calls = 0;
byte on;                   /* Its connection. */
byte x;

inline step() {
  if
  :: call == 0 && calls < 2 && !closed[x] && owner[x] == FREE ->
     calls++; call = calls; on = x; owner[x] = call;
     request[x] = call
  /* The peer answers, at any time. */
  :: request[x] != 0 && reply[x] == 0 -> reply[x] = request[x]; request[x] = 0
  /* The call reads what is in the stream. */
  :: call != 0 && on == x && reply[x] != 0 && !closed[x] ->
     assert(reply[x] == call);
#ifdef GOAL_SECOND_ANSWERED
     assert(call != 2);
#endif
     reply[x] = 0; owner[x] = FREE; call = 0
  /* The call's wait is over. */
  :: call != 0 && on == x ->
     call = 0; owner[x] = FREE;
#ifndef NO_CLOSE_UNFINISHED
     closed[x] = 1
#endif
  fi
}

active proctype system() {
  do
  :: atomic { if :: x = 0 :: x = 1 fi;
       if
       :: step()
       :: else
       fi;
       x = 0 }
  od
}
