/*
 * What nodes know of a request that crashes servers: once it is quarantined and kept in the store, all
 * nodes know it again when connections have healed and processes have started again; and no node
 * counts more crashes than there were.
 *
 * Three nodes in a row, so that the outer ones learn of each other's crashes from the middle one only.
 * Each crash is a bit. Messages are merged in any order, and delivered once or twice; a broken
 * connection loses those on it. A restart loses what the node knew.
 *
 * Variants without a mechanism, each of which must fail:
 *   NO_GREETING     a new connection does not begin with what each side knows
 *   NO_RELAY        a node does not pass on what it learns
 *   NO_STORE        a node that starts does not read the store
 *   COUNT_REPORTS   a node counts reports instead of distinct crashes
 */

#ifndef CUTS
#define CUTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 4
#endif

#define NODES 3
#define LINKS 2
#define ALL_CRASHES 7

/* Link l connects the nodes l and l + 1. */
bit connected[LINKS] = 1;
/* Crashes in the message on its way up (to the node with the higher number) and down each link. */
byte upwards[LINKS];
byte downwards[LINKS];

byte known[NODES];
byte counted[NODES];
byte crashes = 0;
byte stored = 0;
byte cuts = 0;
byte restarts = 0;
bit isQuiet = 0;

inline sendFrom(node) {
  if
  :: node > 0 && connected[node - 1] -> downwards[node - 1] = downwards[node - 1] | known[node]
  :: else -> skip
  fi;
  if
  :: node < LINKS && connected[node] -> upwards[node] = upwards[node] | known[node]
  :: else -> skip
  fi
}

inline greet(link) {
  connected[link] = 1;
#ifndef NO_GREETING
  upwards[link] = upwards[link] | known[link];
  downwards[link] = downwards[link] | known[link + 1];
#endif
}

inline cut(link) {
  connected[link] = 0;
  upwards[link] = 0;
  downwards[link] = 0
}

inline merge(node, message) {
#ifdef COUNT_REPORTS
  counted[node] = counted[node] + 1;
#endif
  if
  :: (known[node] | message) != known[node] ->
     known[node] = known[node] | message;
#ifndef NO_RELAY
     sendFrom(node)
#endif
  :: else -> skip
  fi
}

inline crash(node) {
  known[node] = known[node] | (1 << crashes);
  crashes = crashes + 1;
  counted[node] = counted[node] + 1;
  /* The node that saw the last crash writes the record. */
  if
  :: known[node] == ALL_CRASHES -> stored = ALL_CRASHES
  :: else -> skip
  fi;
  sendFrom(node)
}

inline restart(node) {
  known[node] = 0;
  counted[node] = 0;
  if
  :: node > 0 -> cut(node - 1)
  :: else -> skip
  fi;
  if
  :: node < LINKS -> cut(node)
  :: else -> skip
  fi;
#ifndef NO_STORE
  known[node] = stored
#endif
}

inline deliver(link) {
  if
  :: upwards[link] != 0 ->
     message = upwards[link];
     if
     :: !isQuiet && reports < 2 -> reports = reports + 1
     :: upwards[link] = 0
     fi;
     merge(link + 1, message)
  :: downwards[link] != 0 ->
     message = downwards[link];
     downwards[link] = 0;
     merge(link, message)
  fi
}

#define hasMessage(link) (upwards[link] != 0 || downwards[link] != 0)

active proctype Fleet() {
  byte message;
  byte reports = 0;
  byte link;
  byte node;

  do
  :: atomic {
       crashes < 3 ->
       if
       :: known[0] != ALL_CRASHES -> crash(0)
       :: known[1] != ALL_CRASHES -> crash(1)
       :: known[2] != ALL_CRASHES -> crash(2)
       fi
     }
  :: atomic { hasMessage(0) -> deliver(0) }
  :: atomic { hasMessage(1) -> deliver(1) }
  :: atomic { cuts < CUTS && connected[0] -> cuts = cuts + 1; cut(0) }
  :: atomic { cuts < CUTS && connected[1] -> cuts = cuts + 1; cut(1) }
  :: atomic { !connected[0] -> greet(0) }
  :: atomic { !connected[1] -> greet(1) }
  :: atomic { restarts < RESTARTS -> restarts = restarts + 1; restart(0) }
  :: atomic { restarts < RESTARTS -> restarts = restarts + 1; restart(1) }
  :: atomic { restarts < RESTARTS -> restarts = restarts + 1; restart(2) }
  :: break
  od;

  /* All connections heal, and all messages arrive. */
  isQuiet = 1;
  do
  :: atomic { !connected[0] -> greet(0) }
  :: atomic { !connected[1] -> greet(1) }
  :: atomic { hasMessage(0) -> deliver(0) }
  :: atomic { hasMessage(1) -> deliver(1) }
  :: connected[0] && connected[1] && !hasMessage(0) && !hasMessage(1) -> break
  od;
  assert(stored == 0 || known[0] == ALL_CRASHES);
  assert(stored == 0 || known[1] == ALL_CRASHES);
  assert(stored == 0 || known[2] == ALL_CRASHES);
  assert(counted[0] <= crashes && counted[1] <= crashes && counted[2] <= crashes);
}
