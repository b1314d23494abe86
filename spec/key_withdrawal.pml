/* A withdrawn key is served by no daemon later than LIMIT after its withdrawal,
 * whatever is held up on the way: answers of the store, answers of the daemon
 * that reads it, and the changes that it tells.
 *
 * The reader asks the store and the follower asks the reader. Each keeps the
 * moment at which its view is proven to have been the newest one. */
/* bounds: 9 ticks, limit 2, one question under way at each daemon */

#define TICKS 9
#define LIMIT 2
#define NONE 255

byte now = 1;
byte revision = 1;        /* The store's; the key is withdrawn by 2. */
byte withdrawn_at = NONE;

byte reader_has = 1;
byte reader_proven = 0;
bool reader_asked = false;
byte reader_question;     /* When it was asked. */
byte reader_answer = NONE;

byte follower_has = 1;
byte follower_proven = 0;
bool follower_asked = false;
byte follower_question;
byte proof_revision = NONE;
byte proof_age;

/* Whether a daemon with this view takes a request with the key now. */
#define TAKES(has, proven) (has < 2 && now - proven <= LIMIT)
#define TOO_LATE (withdrawn_at != NONE && now > withdrawn_at + LIMIT)

inline Check() {
  assert(!(TOO_LATE && TAKES(reader_has, reader_proven)));
  assert(!(TOO_LATE && TAKES(follower_has, follower_proven)));
#ifdef GOAL_FOLLOWER_SERVES
  assert(!(now > LIMIT + 1 && TAKES(follower_has, follower_proven)));
#endif
}

active proctype System() {
  do
  :: atomic { now < TICKS -> now++; Check() }
  :: atomic { revision == 1 -> revision = 2; withdrawn_at = now }

  /* The reader. */
  :: atomic { !reader_asked ->
       reader_asked = true; reader_question = now; reader_answer = NONE }
  :: atomic { reader_asked && reader_answer == NONE ->
       reader_answer = revision }
  :: atomic { reader_asked && reader_answer != NONE ->
       reader_has = reader_answer;
#ifdef NO_AGE_FROM_QUESTION
       reader_proven = now;
#else
       reader_proven = reader_question;
#endif
       reader_asked = false; reader_answer = NONE; Check() }

  /* The reader tells its follower what has changed. */
  :: atomic { follower_has < reader_has -> follower_has = reader_has }

  /* The follower. */
  :: atomic { !follower_asked ->
       follower_asked = true; follower_question = now; proof_revision = NONE }
  :: atomic { follower_asked && proof_revision == NONE ->
       proof_revision = reader_has;
#ifdef NO_AGE_COUNTS
       proof_age = 0
#else
       proof_age = now - reader_proven
#endif
     }
  :: atomic { follower_asked && proof_revision != NONE ->
       if
#ifndef NO_HAS_REVISION
       :: proof_revision > follower_has -> skip
       :: proof_revision <= follower_has &&
#else
       ::
#endif
          follower_question >= proof_age &&
          follower_question - proof_age > follower_proven ->
            follower_proven = follower_question - proof_age
       :: else -> skip
       fi;
       follower_asked = false; proof_revision = NONE;
       Check() }
  :: now == TICKS -> break
  od
}
