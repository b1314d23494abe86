/*
 * Requests with ids over the connections of a pool to one target. A request may
 * be sent again under the same id once its send has an answer, as after a
 * rejection. The target may give each answer a second time on its connection,
 * at any later moment.
 *
 * What must hold: an answer is taken for the send that it answers, not only for
 * one with the same id.
 *
 * NO_X takes out guard X. GOAL_X must be reached.
 */

/* bounds: 2 ids, 4 sends, 2 connections */
#define CONNECTIONS 2
#define SENDS 4
#ifdef NO_FRESH_FOR_ID
#define MAY_CARRY true
#else
#define MAY_CARRY ((carried[x] & id) == 0)
#endif
#ifdef NO_MATCH_ID
#define IS_OTHER false
#else
#define IS_OTHER (id_of[stream[x]] != id_of[sending[x]])
#endif

byte id_of[5];             /* By send, from 1; an id is 1 or 2. */
byte carried[CONNECTIONS]; /* Ids that were sent on it, as bits. */
byte sending[CONNECTIONS]; /* The send in progress; 0 if none is. */
byte request[CONNECTIONS]; /* The send that the target still has to answer. */
byte copy[CONNECTIONS];    /* The answer that it may give again, by send. */
byte stream[CONNECTIONS];  /* The answer on its way, by send. */
bit stray[CONNECTIONS];    /* An answer to another request came meanwhile. */
bit closed[CONNECTIONS];
bit busy[3];               /* By id: a send is in progress. */
byte sends = 0;
byte x;
byte id;

inline step() {
  if
  /* The pool sends a request on an idle connection. */
  :: sends < SENDS && !closed[x] && sending[x] == 0 && !busy[id] && MAY_CARRY ->
     sends++; id_of[sends] = id; busy[id] = 1;
     carried[x] = carried[x] | id; sending[x] = sends; request[x] = sends
  /* The target answers, and may keep a copy. */
  :: request[x] != 0 && stream[x] == 0 ->
     stream[x] = request[x]; copy[x] = request[x]; request[x] = 0
  :: copy[x] != 0 && stream[x] == 0 -> stream[x] = copy[x]; copy[x] = 0
  :: copy[x] != 0 -> copy[x] = 0
  /* The pool reads an answer; one that nobody waits for ends the connection. */
  :: stream[x] != 0 && !closed[x] && sending[x] == 0 ->
     closed[x] = 1; stream[x] = 0
  :: stream[x] != 0 && !closed[x] && sending[x] != 0 ->
     if
     :: IS_OTHER -> stray[x] = 1
     :: else ->
        assert(stream[x] == sending[x]);
#ifdef GOAL_SENT_AGAIN
        assert(!(sending[x] > 1 && id_of[sending[x]] == id_of[1]));
#endif
        busy[id_of[sending[x]]] = 0; sending[x] = 0; closed[x] = stray[x]
     fi;
     stream[x] = 0
  fi
}

active proctype system() {
  do
  :: atomic {
       if :: x = 0 :: x = 1 fi;
       if :: id = 1 :: id = 2 fi;
       if
       :: step()
       :: else
       fi;
       x = 0; id = 0 }
  od
}
