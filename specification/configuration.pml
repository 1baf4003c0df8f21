/*
 * Configuration changes: operators' nodes write values, then the root by compare-and-swap.
 *
 * The store keeps one root with a version, a revision, the change that made it and the values of
 * two services. Each operator changes both services, so that a change that holds by half shows.
 * Writes of the root travel to the store: one whose answer is lost may take effect at once, later,
 * or never. Node processes apply revisions in any order in which watch results and pushes arrive,
 * and one node starts while changes are made.
 *
 * Variants without a mechanism, each of which must fail:
 *   NO_COMPARE         the root is written without comparing its version
 *   NO_CHANGE_ID       a lost answer is taken for a failure instead of looking for the change
 *   NO_MONOTONIC       nodes apply whatever arrives last
 *   NO_ROOT            the services are written in place, one after the other, and seen by half
 *   CONFLICT_TOO_EARLY a lost write counts as failed although the root's version is unchanged
 */

#define OPERATORS 2
#define NODES 2
#define NONE 0

/* Answers to operators. */
#define WAITING 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNRESOLVED 3

/* The root, which is the only thing that makes values count. Its revision equals its version. */
byte version = 0;
byte first = NONE;
byte second = NONE;
/* Which change made each version, as the kept change identifiers tell; 0 is the empty root. */
byte maker[5];
/* Values of each version, for readers who read its records later. */
byte firstAt[5];
byte secondAt[5];

/* A write of the root that is still on its way: its operator and the version that it expects. */
bool onItsWay[OPERATORS + 1];
byte expected[OPERATORS + 1];

byte answer[OPERATORS + 1];
/* Whether the change took effect at any time. */
bool held[OPERATORS + 1];
byte base[OPERATORS + 1];
byte revision[NODES];

inline takeEffect(operator, wanted) {
  if
#ifdef NO_COMPARE
  :: true ->
#else
  :: version == wanted ->
#endif
    version++;
    first = operator;
    second = operator;
    firstAt[version] = operator;
    secondAt[version] = operator;
    maker[version] = operator;
    held[operator] = true
  :: else -> skip
  fi
}

/* Carries out writes whose answers were lost, at any later time or never. */
proctype LateWrites() {
  end: do
  :: atomic { onItsWay[1] && version < 4 -> onItsWay[1] = false; takeEffect(1, expected[1]) }
  :: atomic { onItsWay[2] && version < 4 -> onItsWay[2] = false; takeEffect(2, expected[2]) }
  od
}

proctype Operator(byte self) {
  byte known = 0;
  byte tries = 0;
  bool wasWritten = false;
  byte index;
  bool isFound;

  atomic { known = version; base[self] = version }
#ifdef NO_ROOT
  /* In place, a reader sees the change by half. */
  atomic { version++; firstAt[version] = self; secondAt[version] = second; first = self;
           maker[version] = self }
  atomic { second = self; secondAt[version] = self; held[self] = true; answer[self] = ACCEPTED }
  goto done;
#endif
attempt:
  expected[self] = known;
  tries++;
  if
  :: atomic { /* The answer arrives. */
       version < 4 ->
       wasWritten = false;
       if
#ifdef NO_COMPARE
       :: true -> takeEffect(self, known); wasWritten = true
#else
       :: version == known -> takeEffect(self, known); wasWritten = true
       :: else -> skip
#endif
       fi
     }
     if
     :: wasWritten -> answer[self] = ACCEPTED; goto done
     :: else -> skip
     fi
  :: atomic { version < 4 -> takeEffect(self, known) } /* The answer is lost after the effect. */
#ifdef NO_CHANGE_ID
     answer[self] = CONFLICT; goto done
#endif
  :: onItsWay[self] = true /* The call is lost or late: it may take effect until somebody else wins. */
#ifdef NO_CHANGE_ID
     answer[self] = CONFLICT; goto done
#endif
  fi;

  /* Resolve by reading the root and its change identifiers. */
  atomic {
    isFound = false;
    index = 1;
    do
    :: index <= version && maker[index] == self -> isFound = true; break
    :: index <= version && maker[index] != self -> index++
    :: else -> break
    od;
    if
    :: isFound -> answer[self] = ACCEPTED
#ifdef CONFLICT_TOO_EARLY
    :: else -> answer[self] = CONFLICT
#else
    /* The version moved without this change, so no write that expects the old one can succeed. */
    :: !isFound && version != known -> answer[self] = CONFLICT
    :: else -> skip
#endif
    fi
  }
  if
  :: answer[self] != WAITING -> goto done
  :: else -> skip
  fi;
  if
  :: tries < 2 -> goto attempt /* The same write again, on the same version. */
  :: else -> answer[self] = UNRESOLVED
  fi;
done:
  skip
}

/* Reads the root and later the records it refers to, or is sent them by another node. */
proctype Node(byte self; byte reads) {
  byte seen;
  byte seenFirst;
  byte seenSecond;
  byte rounds = 0;

  do
  :: rounds < reads ->
     rounds++;
     if
     :: seen = version /* A watch result or a read at the start. */
     :: seen = revision[0] /* A push of another node. */
     :: seen = revision[1]
     fi;
     if
     :: seen > 0 ->
        /* The records are immutable, so they may be read one after the other, and late. */
        seenFirst = firstAt[seen];
        seenSecond = secondAt[seen];
        assert(seenFirst == seenSecond);
#ifndef NO_MONOTONIC
        if
        :: seen > revision[self] -> revision[self] = seen
        :: else -> skip
        fi
#else
        assert(seen >= revision[self]);
        revision[self] = seen
#endif
     :: else -> skip
     fi
  :: else -> break
  od
}

/* What holds whenever an operator has an answer, for all times after. */
proctype Checker() {
  end: do
  :: atomic { answer[1] == ACCEPTED && !held[1] -> assert(false) }
  :: atomic { answer[2] == ACCEPTED && !held[2] -> assert(false) }
  :: atomic { answer[1] == CONFLICT && held[1] -> assert(false) }
  :: atomic { answer[2] == CONFLICT && held[2] -> assert(false) }
#ifndef NO_ROOT
  /* Both change the same services, so of two on one base only one may hold. */
  :: atomic { held[1] && held[2] && base[1] == base[2] -> assert(false) }
#endif
  od
}

init {
  atomic {
    run LateWrites();
    run Operator(1);
    run Operator(2);
    run Node(0, 2);
    /* Starts at any time and reads once. */
    run Node(1, 1);
    run Checker()
  }
}
