/*
 * At-most-once for one key and one range (design section 5).
 *
 * Two homes, three witnesses and a store that holds the version of the newest table. The tables name
 * home 0, home 1 and home 0 again as the home. Any message may be lost or late, a home may pause
 * between its checks and its dispatch, homes and witnesses may restart with empty memory, and every
 * reading of a wall clock may be ahead of true time by up to SKEW.
 *
 * Variants that leave out one mechanism and must fail:
 *   NO_LEASE_CHECK, LEASE_FROM_ANSWER, NO_PROMISE_WAIT, NO_RESTART_WAIT, NO_WITNESS_READ, NO_SINCE, NO_CUTOFF,
 *   NO_CUTOFF_MARGIN, NO_VOID_RULE, NO_VOID_MARGIN, NO_TAKEOVER_VOID
 */
#define LEASE 2
#ifndef SKEW
#define SKEW 1
#endif
#ifndef HORIZON
#define HORIZON 5
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif
#define ATTEMPTS 2
#define HOMES 2
#define WITNESSES 3

#define NONE 0
#define RUNNING 1
#define RAN 2
#define NOT_RUN 3
#define UNKNOWN 4

#define home_of(v) (((v) + 1) % 2)

byte now;
byte stored = 1;           /* version of the table in the store */
bit lost[4];               /* the home of this version restarted since the table was written */

byte version[HOMES];       /* the table by which the home acts; 0: it is no home */
bit activated[HOMES];         /* it has had a majority's acceptance for this table */
byte cutoff[HOMES];        /* wall time + 1; 0: none */
byte voidUntil[HOMES];     /* attempts that entered until this wall time are void; + 1; 0: none */
byte record[HOMES];
byte refusedAt[HOMES];
byte dispatched[HOMES];    /* attempt + 1 that is on its way to a gate */
byte orphan[HOMES];        /* the same, of an earlier life or an earlier tenure */
byte lease[HOMES];         /* remaining lease */

byte accepted[WITNESSES];  /* a restarted witness holds the version that it read from the store */
byte promise[WITNESSES];   /* remaining promise to the home of the accepted version */
byte restartWait[WITNESSES];

byte created;              /* creation time in the key; a caller's clock may be arbitrarily wrong */
bit entered[ATTEMPTS];
bit finished[ATTEMPTS];
byte receivedAt[ATTEMPTS];
bit voided[ATTEMPTS];      /* it had entered when a caller was told "not run" */
byte runs;
#ifndef HOME_RESTARTS
#define HOME_RESTARTS 1
#endif
#ifndef WITNESS_RESTARTS
#define WITNESS_RESTARTS 1
#endif
byte homeRestarts;
byte witnessRestarts;

byte i;

#ifdef NO_LEASE_CHECK
#define has_lease(h) (activated[h])
#else
#define has_lease(h) (activated[h] && lease[h] > 0)
#endif

#define on_its_way(a) (dispatched[0] == (a) + 1 || dispatched[1] == (a) + 1 || orphan[0] == (a) + 1 || orphan[1] == (a) + 1)

inline tell_not_run() {
  assert(runs == 0);
  i = 0;
  do
  :: i < ATTEMPTS ->
    if
    :: entered[i] && (!finished[i] || on_its_way(i)) -> voided[i] = 1
    :: else
    fi;
    i++
  :: else -> break
  od;
  i = 0
}

inline execute(a) {
  runs++;
  assert(runs == 1);
  assert(!voided[a])
}

/* The records of a tenure end with it; a dispatch that is on its way goes on. */
inline end_tenure(h) {
  activated[h] = 0; lease[h] = 0; cutoff[h] = 0; voidUntil[h] = 0; record[h] = NONE; refusedAt[h] = 0;
  if :: dispatched[h] > 0 -> orphan[h] = dispatched[h]; dispatched[h] = 0 :: else fi
}

#ifdef NO_CUTOFF_MARGIN
#define CUTOFF_MARGIN 0
#else
#define CUTOFF_MARGIN SKEW
#endif

inline activate(h, wall) {
  activated[h] = 1;
  if
  :: version[h] > 1 ->
    skip;
#ifndef NO_CUTOFF
    cutoff[h] = wall + CUTOFF_MARGIN + 1;
#endif
#ifndef NO_TAKEOVER_VOID
    voidUntil[h] = wall + SKEW + 1
#endif
  :: else
  fi
}

#ifdef NO_PROMISE_WAIT
#define bound_by_promise(w) false
#else
#define bound_by_promise(w) (promise[w] > 0)
#endif

/* A confirm request that carries a newer table reaches a witness; it may have been sent long ago. */
#define may_accept(w) (accepted[w] < stored && restartWait[w] == 0 && !bound_by_promise(w))
inline witness_accepts(w) { accepted[w]++ }
/* The table after the next names the same home again, so no promise stands in its way. */
#define may_skip(w) (accepted[w] + 2 <= stored && !lost[accepted[w]] && restartWait[w] == 0)

/* Two witnesses renew their promises, and the home counts their answers when these are `age` old. */
#define may_renew(h, v, w) (version[h] > 0 && accepted[v] == version[h] && accepted[w] == version[h] && \
  restartWait[v] == 0 && restartWait[w] == 0 && lease[h] < LEASE)
#ifdef LEASE_FROM_ANSWER
#define lease_left(age) LEASE
#define LATEST LEASE
#else
#define lease_left(age) (LEASE - (age))
#define LATEST (LEASE - 1) /* a later answer is worth nothing */
#endif
inline raise(x, value) { if :: x < value -> x = value :: else fi }
inline renew(h, v, w, age, wall) {
  raise(promise[v], LEASE - (age));
  raise(promise[w], LEASE - (age));
  raise(lease[h], lease_left(age));
  if :: !activated[h] -> activate(h, wall) :: else fi
}

inline accept(h, a) { record[h] = RUNNING; refusedAt[h] = 0; dispatched[h] = a + 1 }

inline refuse(h, wall) { record[h] = NOT_RUN; refusedAt[h] = wall; tell_not_run() }

inline deliver(h, a, wall) {
  finished[a] = 1;
  if
  :: record[h] == RUNNING || record[h] == RAN || record[h] == UNKNOWN -> skip
  :: else ->
    if
    :: !has_lease(h) || dispatched[h] > 0 -> skip
    :: else ->
      if
      :: record[h] == NOT_RUN ->
        if
#ifndef NO_VOID_RULE
#ifdef NO_VOID_MARGIN
        :: receivedAt[a] <= refusedAt[h] -> refuse(h, wall)
#else
        :: receivedAt[a] <= refusedAt[h] + SKEW -> refuse(h, wall)
#endif
#endif
        :: else -> accept(h, a)
        fi
      :: else ->
        if
        :: cutoff[h] > 0 && created <= cutoff[h] - 1 -> skip
        :: !(cutoff[h] > 0 && created <= cutoff[h] - 1) && (created > wall || receivedAt[a] < voidUntil[h]) -> refuse(h, wall)
        :: else -> accept(h, a)
        fi
      fi
    fi
  fi;
  receivedAt[a] = 0
}

inline restart_home(h) {
  homeRestarts++;
  end_tenure(h);
  version[h] = 0;
  i = 1;
  do :: i <= stored -> if :: home_of(i) == h -> lost[i] = 1 :: else fi; i++ :: else -> break od;
  i = 0
}

inline adopt(h, v) {
#ifdef NO_SINCE
  /* Keeps its records when the newer table names it again, whoever was the home in between. */
  if :: version[h] > 0 -> skip :: else -> end_tenure(h) fi;
#else
  end_tenure(h);
#endif
  version[h] = v
}

inline give_up(h) { end_tenure(h); version[h] = 0 }

inline restart_witness(w) {
  witnessRestarts++;
  promise[w] = 0;
#ifdef NO_WITNESS_READ
  accepted[w] = 0;
#else
  accepted[w] = stored;
#endif
#ifndef NO_RESTART_WAIT
  restartWait[w] = LEASE
#endif
}

inline count_down(x) { if :: x > 0 -> x-- :: else fi }

inline advance() {
  now++;
  i = 0;
  do
  :: i < HOMES ->
    count_down(lease[i]);
    i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < WITNESSES -> count_down(promise[i]); count_down(restartWait[i]);
    /* No newer table comes, so this promise stops nothing. */
    if :: accepted[i] == VERSIONS -> promise[i] = 0 :: else fi;
    i++
  :: else -> break
  od;
  i = 0
}

/* Once both attempts have ended, nothing that follows can break a property. */
#define open (!finished[0] || !finished[1] || on_its_way(0) || on_its_way(1))

#define RENEW(h, v, w) \
  :: d_step { open && may_renew(h, v, w) -> renew(h, v, w, 0, now) } \
  :: d_step { open && may_renew(h, v, w) -> renew(h, v, w, LATEST, now) } \
  :: d_step { open && may_renew(h, v, w) && !activated[h] -> renew(h, v, w, 0, now + SKEW) }

#define DELIVER(h, a) \
  :: d_step { entered[a] && !finished[a] -> deliver(h, a, now) } \
  :: d_step { entered[a] && !finished[a] -> deliver(h, a, now + SKEW) }

#define HOME_STEPS(h) \
  RENEW(h, 0, 1) \
  RENEW(h, 0, 2) \
  RENEW(h, 1, 2) \
  DELIVER(h, 0) \
  DELIVER(h, 1) \
  :: d_step { dispatched[h] > 0 -> execute(dispatched[h] - 1); dispatched[h] = 0; \
       if :: record[h] == RUNNING -> record[h] = RAN :: else fi } \
  :: d_step { dispatched[h] > 0 && record[h] == RUNNING -> dispatched[h] = 0; refuse(h, now) } \
  :: d_step { dispatched[h] > 0 && record[h] == RUNNING -> dispatched[h] = 0; refuse(h, now + SKEW) } \
  :: d_step { dispatched[h] > 0 && record[h] == RUNNING -> record[h] = UNKNOWN } \
  :: d_step { orphan[h] > 0 -> execute(orphan[h] - 1); orphan[h] = 0 } \
  :: d_step { open && homeRestarts < HOME_RESTARTS && version[h] > 0 -> restart_home(h) } \
  :: d_step { open && version[h] > 0 && version[h] < stored && home_of(stored) != h -> give_up(h) } \
  :: d_step { open && version[h] < stored && home_of(stored) == h && !lost[stored] -> adopt(h, stored) }

#define WITNESS_STEPS(w) \
  :: d_step { open && may_accept(w) -> witness_accepts(w) } \
  :: d_step { open && may_skip(w) -> accepted[w] = accepted[w] + 2 }

#define ENTER(a, wall) entered[a] = 1; receivedAt[a] = wall

init {
  d_step { version[0] = 1; accepted[0] = 1; accepted[1] = 1; accepted[2] = 1 }
  do
  :: d_step { open && now < HORIZON -> advance() }
  :: d_step { open && stored < VERSIONS -> stored++ }
  :: atomic { !entered[0] -> d_step { ENTER(0, now) }; do :: created < HORIZON -> created++ :: break od }
  :: atomic { !entered[0] -> d_step { ENTER(0, now + SKEW) }; do :: created < HORIZON -> created++ :: break od }
  :: d_step { entered[0] && !entered[1] -> ENTER(1, now) }
  :: d_step { entered[0] && !entered[1] -> ENTER(1, now + SKEW) }
  HOME_STEPS(0)
  HOME_STEPS(1)
  WITNESS_STEPS(0)
  WITNESS_STEPS(1)
  WITNESS_STEPS(2)
  /* The witnesses are interchangeable, so it is enough that one of them may restart. */
  :: d_step { open && witnessRestarts < WITNESS_RESTARTS -> restart_witness(0) }
  od
}
