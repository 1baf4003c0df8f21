/*
 * A store that comes back from older copies: a node that watches the configuration ends with the newest one, and its
 * entry stands, once the store has been left alone.
 *
 * The store gives revisions out again after a return and begins a new era, which every answer tells. A read that may
 * be old shows the copy that was replaced, with its era. The operator writes again what was lost. A watch waits after
 * a revision and is answered when the store has the key at a later one; one after a revision that the store does not
 * have is refused. Between its calls the node checks that the store answers, with a read of its entry that may be old.
 *
 * Variants without a mechanism, each of which must fail:
 *   ERA_IGNORED      an answer's era is not compared, so old reads are believed
 *   WATCH_KEPT       a watch goes on in a new era from the revision that was read in an earlier one
 *   ENTRY_FORGOTTEN  the entry is not looked at in a new era
 */

#ifndef RETURNS
#define RETURNS 2
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef OTHERS
#define OTHERS 3
#endif

/* What the store holds, what its last copy holds, and what old reads show. */
byte era = 1, revision = 2, changedAt = 1, version = 1; bool entry = false;
byte copyRevision = 2, copyChangedAt = 1, copyVersion = 1; bool copyEntry = false;
byte oldEra = 0, oldRevision, oldChangedAt, oldVersion; bool oldEntry;

byte newest = 1;      /* the version that the operator has confirmed last */
byte returns = 0, others = 0;
bool isQuiet = false;  /* nothing changes the store any more, and old reads have ended */

active proctype Store() {
  do
  :: atomic { newest < VERSIONS && version == newest ->
       newest++; version = newest; revision++; changedAt = revision }
  :: atomic { version < newest -> version = newest; revision++; changedAt = revision }
  :: atomic { others < OTHERS -> others++; revision++ }
  :: atomic { returns < RETURNS ->
       copyRevision = revision; copyChangedAt = changedAt; copyVersion = version; copyEntry = entry }
  :: atomic { returns < RETURNS ->
       returns++;
       oldEra = era; oldRevision = revision; oldChangedAt = changedAt; oldVersion = version; oldEntry = entry;
       era++; revision = copyRevision; changedAt = copyChangedAt; version = copyVersion; entry = copyEntry }
  :: atomic { oldEra > 0 -> oldEra = 0 }
  :: atomic { newest == VERSIONS && version == newest && oldEra == 0 -> isQuiet = true; break }
  od
}

byte known = 0;        /* the era that the node has seen */
byte held = 0;         /* its configuration */
byte watchedAfter = 0; /* 0: it does not watch */
bool isExactNeeded = false, isEntrySeen = false;
bool isChecked = false; /* the store was asked since it was left alone */

/* An answer of an era came; the node notes it. `isTaken` tells whether the answer says something. */
bool isTaken;
inline hear(answered) {
  isTaken = true;
#ifndef ERA_IGNORED
  if
  :: known == 0 -> known = answered
  :: known > 0 && answered < known -> isTaken = false
  :: known > 0 && answered > known ->
       known = answered;
       isExactNeeded = true;
#ifndef WATCH_KEPT
       watchedAfter = 0;
#endif
#ifndef ENTRY_FORGOTTEN
       isEntrySeen = false
#endif
  :: else -> skip
  fi
#endif
}

inline take(read) { held = (read > held -> read : held) }

active proctype Node() {
  do
  /* The first read may be old; one in a new era is exact. */
  :: atomic { watchedAfter == 0 && !isExactNeeded && oldEra > 0 ->
       hear(oldEra);
       if
       :: isTaken && !isExactNeeded -> take(oldVersion); watchedAfter = oldRevision
       :: else -> isExactNeeded = true
       fi }
  :: atomic { watchedAfter == 0 ->
       hear(era); isExactNeeded = false; take(version); watchedAfter = revision }
  /* The watch is answered, refused, or cut by the return of the store. */
  :: atomic { watchedAfter > 0 && watchedAfter <= revision && changedAt > watchedAfter ->
       hear(era);
       take(version);
       if
       :: watchedAfter > 0 -> watchedAfter = revision
       :: else -> skip
       fi }
  :: atomic { watchedAfter > revision -> hear(era); watchedAfter = 0; isExactNeeded = true }
  /* The check of the store, which tells of the entry too. */
  :: atomic { oldEra > 0 ->
       hear(oldEra);
       if
       :: isTaken && oldEntry -> isEntrySeen = true
       :: else -> skip
       fi }
  :: atomic { (!isChecked || !isEntrySeen) ->
       isChecked = isQuiet;
       hear(era);
       if
       :: isEntrySeen -> skip
       :: (!isEntrySeen && entry) -> isEntrySeen = true
       :: (!isEntrySeen && !entry) -> entry = true; revision++; isEntrySeen = true
       fi }
  /* Nothing will wake the node any more. */
  :: atomic { (isQuiet && isChecked && isEntrySeen && watchedAfter > 0 && watchedAfter <= revision
              && changedAt <= watchedAfter) ->
       assert(held == newest);
       assert(entry);
       break }
  od
}
