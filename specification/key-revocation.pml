/*
 * How long a removed API key holds: no node acts on the key later than BOUND after the store confirmed its removal.
 *
 * One node (0) reads and watches the store, another (1) asks it for its proof. Version 1 of the configuration holds the
 * key, version 2 does not. Calls, questions and answers are lost, late, reordered and repeated; a node is suspended once,
 * while only real time goes on; the node that asks restarts once, and starts with an old read of version 1. The store
 * comes back once from an older copy, begins a new era and gives revisions out again.
 *
 * To bound the search, it is checked in two parts: NO_PEERS without the node that asks, and NO_RETURNS without older
 * copies, where a read takes no time.
 *
 * Variants without a mechanism, each of which must fail:
 *   TIME_OF_ANSWER   a proof counts from the store's answer instead of from before the call
 *   STALE_READ       a read that may be old is a proof
 *   ERA_IGNORED      a watch that continues from a revision of an earlier era is a proof
 *   STEADY_CLOCK     the age of a proof counts on a clock that stops during suspensions
 *   TIME_OF_ARRIVAL  the age in a peer's answer counts from its arrival instead of from before the question
 *   ANY_VERSION      a proof of a newer version than the one in force is accepted
 *   NUMBERS_REUSED   a node that restarts numbers its questions anew
 */

#ifndef BOUND
#define BOUND 2
#endif
#ifndef END
#define END 5
#endif
#ifndef ASKS
#define ASKS 2
#endif
#define NONE 255

byte now = 0;
byte lease[2];             /* the clocks of the nodes */
bool isSuspended[2];
bool wasSuspended = false;

/* The store: its revision and era, and the removal of the key. */
byte revision = 1, era = 0, removedRevision = 0, removedAt = 0;
bool isRemoved = false, hasOther = false, isRestored = false;

byte inForce[2] = 1;
byte provenAt[2] = NONE;   /* on the clock of the node */

#define isProven(node) (provenAt[node] != NONE && lease[node] - provenAt[node] < BOUND)

inline prove(node, at) {
  if
  :: provenAt[node] == NONE || at > provenAt[node] -> provenAt[node] = at
  :: else -> skip
  fi
}

active proctype Time() {
  do
  :: atomic { now < END ->
       now++;
#ifdef STEADY_CLOCK
       if :: isSuspended[0] -> skip :: else -> lease[0]++ fi;
       if :: isSuspended[1] -> skip :: else -> lease[1]++ fi;
#else
       lease[0]++; lease[1]++;
#endif
       /* What has expired can no longer matter. */
       if :: provenAt[0] != NONE && !isProven(0) -> provenAt[0] = NONE :: else -> skip fi;
       if :: provenAt[1] != NONE && !isProven(1) -> provenAt[1] = NONE :: else -> skip fi
     }
  :: atomic { !wasSuspended -> wasSuspended = true; isSuspended[0] = true }
#ifndef NO_PEERS
  :: atomic { !wasSuspended -> wasSuspended = true; isSuspended[1] = true }
#endif
  :: atomic { isSuspended[0] -> isSuspended[0] = false }
  :: atomic { isSuspended[1] -> isSuspended[1] = false }
  :: now == END -> break
  od
}

/* The pending call of node 0, and the answer once the store has served it. */
mtype = { idle, sent, served };
mtype call = idle;
bool isWatch = false, showsRemoval = false;
byte callSentAt = 0, answerEra = 0, answerRevision = 0, watchRevision = 0, watchEra = 0;

active proctype Store() {
  do
  :: atomic { !isRemoved ->
       revision++; isRemoved = true; removedRevision = revision; removedAt = now }
#ifndef NO_RETURNS
  :: atomic { !hasOther -> hasOther = true; revision++ }
  :: atomic { !isRestored && !isRemoved -> isRestored = true; era++; revision = 1 }
#endif
  :: atomic { call == sent ->
       call = served; answerEra = era; answerRevision = revision;
       if
       :: isWatch -> showsRemoval = isRemoved && removedRevision > watchRevision
       :: !isWatch -> showsRemoval = isRemoved
#ifdef STALE_READ
       :: !isWatch -> showsRemoval = false
#endif
       fi }
  :: now == END -> break
  od
}

inline endCall() {
  call = idle; isWatch = false; showsRemoval = false; callSentAt = 0; answerEra = 0; answerRevision = 0
}

/* The questions of node 1; a question or an answer in transit may arrive again and again. */
byte nextAsk = 0;
byte askedAt[ASKS] = NONE;
bool isAsking[ASKS];
byte answerAge[ASKS] = NONE, answerVersion[ASKS];

active proctype Reader() {
  byte ask;
  do
#ifdef NO_RETURNS
  :: atomic { !isSuspended[0] ->
       if
       :: isRemoved -> inForce[0] = 2
       :: else -> skip
       fi;
       prove(0, lease[0]) }
#else
  :: atomic { !isSuspended[0] && call == idle -> call = sent; callSentAt = lease[0]; isWatch = false }
  :: atomic { !isSuspended[0] && call == idle && watchRevision > 0 ->
       call = sent; callSentAt = lease[0]; isWatch = true }
  :: atomic { call != idle -> endCall() }
  :: atomic { !isSuspended[0] && call == served ->
       if
       :: showsRemoval -> inForce[0] = 2
       :: else -> skip
       fi;
#ifndef ERA_IGNORED
       if
       :: isWatch && answerEra != watchEra -> watchRevision = 0
       :: else ->
#endif
#ifdef TIME_OF_ANSWER
            prove(0, lease[0]);
#else
            prove(0, callSentAt);
#endif
            watchRevision = answerRevision; watchEra = answerEra
#ifndef ERA_IGNORED
       fi;
#else
       ;
#endif
       endCall() }
#endif
  :: atomic { !isSuspended[0] && isProven(0) ->
       select(ask : 0 .. ASKS - 1);
       if
       :: isAsking[ask] -> answerAge[ask] = lease[0] - provenAt[0]; answerVersion[ask] = inForce[0]
       :: else -> skip
       fi;
       ask = 0 }
  :: atomic { inForce[0] == 1 && !isSuspended[0] && isProven(0) ->
       assert(!isRemoved || now < removedAt + BOUND) }
  :: now == END -> break
  od
}

#ifndef NO_PEERS
active proctype Asker() {
  byte ask;
  bool hasRestarted = false;
  do
  :: atomic { !isSuspended[1] && nextAsk < ASKS ->
       askedAt[nextAsk] = lease[1]; isAsking[nextAsk] = true; nextAsk++ }
  :: atomic { !isSuspended[1] ->
       select(ask : 0 .. ASKS - 1);
       if
       :: askedAt[ask] != NONE && answerAge[ask] != NONE ->
#ifdef TIME_OF_ARRIVAL
            askedAt[ask] = lease[1];
#endif
            if
#ifdef ANY_VERSION
            :: askedAt[ask] >= answerAge[ask] ->
#else
            :: askedAt[ask] >= answerAge[ask] && answerVersion[ask] <= inForce[1] ->
#endif
                 prove(1, askedAt[ask] - answerAge[ask])
            :: else -> skip
            fi;
            askedAt[ask] = NONE
       :: else -> skip
       fi;
       ask = 0 }
  /* The configuration comes from the other node at any time, or never. */
  :: atomic { inForce[0] == 2 && inForce[1] == 1 && !isSuspended[1] -> inForce[1] = 2 }
  :: atomic { !hasRestarted ->
       hasRestarted = true; provenAt[1] = NONE; inForce[1] = 1;
       askedAt[0] = NONE; askedAt[1] = NONE;
#ifdef NUMBERS_REUSED
       nextAsk = 0
#endif
     }
  :: atomic { inForce[1] == 1 && !isSuspended[1] && isProven(1) ->
       assert(!isRemoved || now < removedAt + BOUND) }
  :: now == END -> break
  od
}
#endif
