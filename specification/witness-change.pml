/*
 * Change of the witnesses of one service, for one range (design section 5).
 *
 * Two homes, four witnesses and a store that holds every table written so far. Set A is witnesses 0, 1
 * and 2, set B is 0, 1 and 3, so that {0, 2} and {1, 3} are majorities without a common member. A table
 * names the home and the sets that count. At any time a takeover may name the other home, the missing
 * set may be added, and a home that holds its lease may drop the older set. That last write may take
 * effect at any later time or never, as a write whose answer was lost does. Homes learn tables late, in
 * any order, or crash and forget them; a paused home does nothing while its lease runs on. Requests to
 * witnesses are lost or late, also those of tables that their sender has replaced. A witness may
 * restart with empty memory. NO_LATE_REQUESTS and NO_HOME_CRASH leave these faults out, so that the
 * searches with a restart or a lease of two ticks stay short.
 *
 * Proved: no two homes hold a lease at the same time, and none gets one by a table that is older than
 * the one by which the other home has held a lease.
 *
 * Variants that leave out one mechanism and must fail:
 *   NO_DOUBLE_QUORUM   a table lists only the new set as soon as it is chosen
 *   DROP_UNCONFIRMED   the older set is dropped before a majority of it has accepted the table
 *   NO_RESTART_WAIT    a restarted witness accepts tables while promises that it forgot still hold
 *   NO_WITNESS_READ    a restarted witness accepts tables older than the one in the store
 */
#ifndef LEASE
#define LEASE 1
#endif
#define VERSIONS 4
/* The witness that may restart once; 4: none. Witnesses 0 and 1 are interchangeable. */
#ifndef RESTARTING
#define RESTARTING 4
#endif
#define WITNESSES 4

/* Which sets count, and which of them is the newer one. */
#define ONLY_A 0
#define ADDING_B 1
#define ONLY_B 2
#define ADDING_A 3

byte stored = 1;
bit homeAt[VERSIONS + 1];  /* the home that a version names */
byte setsAt[VERSIONS + 1];
byte dropOnItsWay;         /* version on which a drop of the older set was sent; 0: none */

byte known[2];             /* the newest table that a home knows; 0: none */
byte held[2];              /* the newest table by which a home has ever held a lease */
byte confirmed[8];         /* remaining time for which home h counts witness w, at h * 4 + w */

byte accepted[WITNESSES];
byte promise[WITNESSES];   /* remaining promise to the home of the accepted table */
byte restartWait[WITNESSES];
bit hasRestarted;
byte i;

#define other_sets(s) (((s) + 1) % 4)
#define is_changing(s) ((s) == ADDING_B || (s) == ADDING_A)
#define counts_a(v) (setsAt[v] != ONLY_B)
#define counts_b(v) (setsAt[v] != ONLY_A)
#define is_witness(w, v) ((w) < 2 || ((w) == 2 && counts_a(v)) || ((w) == 3 && counts_b(v)))

#define counts(h, w) (confirmed[(h) * 4 + (w)] > 0)
#define majority(h, w) (counts(h, 0) + counts(h, 1) + counts(h, w) >= 2)
#define is_home(h) (known[h] > 0 && homeAt[known[h]] == (h))
#define has_lease(h) (is_home(h) && (!counts_a(known[h]) || majority(h, 2)) && \
  (!counts_b(known[h]) || majority(h, 3)))

inline write(home, sets) {
  homeAt[stored + 1] = home;
  setsAt[stored + 1] = sets;
  stored++
}

inline forget_confirmations(h) {
  confirmed[(h) * 4] = 0; confirmed[(h) * 4 + 1] = 0; confirmed[(h) * 4 + 2] = 0; confirmed[(h) * 4 + 3] = 0
}

inline learn(h, v) { known[h] = v; forget_confirmations(h) }

/* A promise holds for the home; a newer table that names the same home takes nothing from it. */
#define may_accept(w, v) (v <= stored && is_witness(w, v) && restartWait[w] == 0 && accepted[w] <= (v) && \
  (accepted[w] == (v) || promise[w] == 0 || homeAt[accepted[w]] == homeAt[v]))

/* No newer table follows the last one, so a promise to its home stops nothing. */
#define promise_for(v) ((v) == VERSIONS -> 0 : LEASE)

inline accept(w, v) { accepted[w] = v; promise[w] = promise_for(v) }

/*
 * The home counts from when it sent the request, and the witness from its answer. An answer at once
 * gives the home the longest lease, and so covers every later one.
 */
inline confirm(h, w) {
  accept(w, known[h]);
  confirmed[(h) * 4 + (w)] = LEASE;
  if
  :: has_lease(h) ->
    assert(!has_lease(1 - h));
    assert(known[h] > held[1 - h]);
    if :: held[h] < known[h] -> held[h] = known[h] :: else fi
  :: else
  fi
}

inline restart_witness(w) {
  hasRestarted = 1;
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
  i = 0;
  do
  :: i < 8 -> count_down(confirmed[i]); i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < WITNESSES -> count_down(promise[i]); count_down(restartWait[i]); i++
  :: else -> break
  od;
  i = 0
}

#ifdef DROP_UNCONFIRMED
#define may_drop(h) (is_home(h) && is_changing(setsAt[known[h]]))
#else
#define may_drop(h) (has_lease(h) && is_changing(setsAt[known[h]]))
#endif

#define CONFIRM(h, w) \
  :: d_step { is_home(h) && may_accept(w, known[h]) && \
       (accepted[w] < known[h] || promise[w] < promise_for(known[h]) || confirmed[(h) * 4 + (w)] < LEASE) -> confirm(h, w) }

#define LEARN(h, v) \
  :: d_step { (v) <= stored && known[h] < (v) -> learn(h, v) }

#ifdef NO_HOME_CRASH
#define may_crash false
#else
#define may_crash true
#endif

#define HOME_STEPS(h) \
  CONFIRM(h, 0) CONFIRM(h, 1) CONFIRM(h, 2) CONFIRM(h, 3) \
  LEARN(h, 1) LEARN(h, 2) LEARN(h, 3) LEARN(h, 4) \
  :: d_step { may_crash && known[h] > 0 -> known[h] = 0; forget_confirmations(h) } \
  :: d_step { may_drop(h) && known[h] == stored && dropOnItsWay != stored && stored < VERSIONS -> \
       dropOnItsWay = stored }

/* A request that is late or whose answer is lost: only the witness gets to know the table. */
#ifdef NO_LATE_REQUESTS
#define LATE(w, v)
#else
#define LATE(w, v) \
  :: d_step { may_accept(w, v) && (accepted[w] < (v) || promise[w] < promise_for(v)) -> accept(w, v) }
#endif

#define WITNESS_STEPS(w) \
  LATE(w, 1) LATE(w, 2) LATE(w, 3) LATE(w, 4)

init {
  d_step { accepted[0] = 1; accepted[1] = 1; accepted[2] = 1; accepted[3] = 1 }
  do
  :: d_step { true -> advance() }
  :: d_step { stored < VERSIONS -> write(1 - homeAt[stored], setsAt[stored]) }
#ifdef NO_DOUBLE_QUORUM
  :: d_step { stored < VERSIONS -> write(homeAt[stored], ONLY_B - setsAt[stored]) }
#else
  :: d_step { stored < VERSIONS && !is_changing(setsAt[stored]) ->
       write(homeAt[stored], other_sets(setsAt[stored])) }
  :: d_step { stored < VERSIONS && dropOnItsWay == stored ->
       write(homeAt[stored], other_sets(setsAt[stored])) }
#endif
  HOME_STEPS(0)
  HOME_STEPS(1)
  WITNESS_STEPS(0)
  WITNESS_STEPS(1)
  WITNESS_STEPS(2)
  WITNESS_STEPS(3)
#if RESTARTING < 4
  :: d_step { !hasRestarted -> restart_witness(RESTARTING) }
#endif
  od
}
