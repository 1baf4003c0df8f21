/*
 * Rebase of configuration changes on a newer root (design section 7).
 *
 * Operator 1 changes part 1 of the configuration, operator 2 part 2, and a third one part 1 or both; of
 * two operators the second one changes any part. A
 * node that finds a newer root than the one its change was made on builds the change again on that
 * root, unless the parts it changes were changed since the base. A write of the root may be answered,
 * its answer may be lost after the effect, or it may take effect at any later time or never. A change
 * whose outcome stayed unresolved may be sent again under its identifier by a run that knows nothing
 * of the first. The root keeps the identifiers of the last KEPT changes.
 *
 * Proved: no change takes effect twice, undoes another one that its operator has not seen, or takes
 * effect after its operator was told that it did not; an accepted change took effect; a conflict is told
 * only to a change that did not take effect.
 *
 * Variants that leave out one mechanism and must fail:
 *   NO_CHANGE_ID        a change is built again on a newer root without looking for its identifier
 *   REBASE_CONFLICTING  a change is built again although its parts were changed since its base
 *   REBASE_FROM_BASE    the new root takes the other parts from the base in place of the newer root
 *   NO_COVER_CHECK      an identifier that may have been dropped counts as absent
 *   REJECT_RESEND       a change that was sent again and could not be begun is told not to hold
 */
#ifndef OPERATORS
#define OPERATORS 3
#endif
#define VERSIONS (OPERATORS + 1)
#ifndef KEPT
#define KEPT VERSIONS
#endif
#ifndef RESENDS
#define RESENDS 0
#endif
#ifndef TRIES
#define TRIES 1 /* reads and writes of a run that may stay unanswered */
#endif
#ifdef REJECT_RESEND
#define may_have_been_sent(resends) false
#else
#define may_have_been_sent(resends) ((resends) > 0)
#endif

#define WAITING 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNRESOLVED 3
#define REJECTED 4

byte version;                  /* of the root, which is also the revision */
byte maker[VERSIONS + 1];      /* the change that made a version */
byte first[VERSIONS + 1];      /* the value of each part: the change that set it */
byte second[VERSIONS + 1];

byte base[OPERATORS + 1];
byte parts[OPERATORS + 1];     /* 1: the first, 2: the second, 3: both */
byte answer[OPERATORS + 1];
bit held[OPERATORS + 1];
bit onItsWay[OPERATORS + 1];
byte expected[OPERATORS + 1];  /* version that the newest write of the root expects */
byte newFirst[OPERATORS + 1];
byte newSecond[OPERATORS + 1];

#define changes_first(self) ((parts[self] & 1) > 0)
#define changes_second(self) ((parts[self] & 2) > 0)
#define overlaps(self, v) ((changes_first(self) && first[v] != first[base[self]]) || \
  (changes_second(self) && second[v] != second[base[self]]))

inline take_effect(self) {
  assert(!held[self]);
  assert(answer[self] != CONFLICT && answer[self] != REJECTED);
  assert(!overlaps(self, version));
  assert(changes_first(self) || newFirst[self] == first[version]);
  assert(changes_second(self) || newSecond[self] == second[version]);
  held[self] = 1;
  first[version + 1] = newFirst[self];
  second[version + 1] = newSecond[self];
  maker[version + 1] = self;
  version++
}

#define can_succeed(self) (version == expected[self] && version < VERSIONS)

inline finish(self, told) {
  assert(told != ACCEPTED || held[self]);
  assert((told != CONFLICT && told != REJECTED) || !held[self]);
  answer[self] = told
}

#ifdef NO_CHANGE_ID
#define is_kept(self, v) false
#else
#define is_kept(self, v) ((v) > 0 && (maker[v] == (self) || \
  (KEPT > 1 && (v) > 1 && maker[(v) - 1] == (self)) || \
  (KEPT > 2 && (v) > 2 && maker[(v) - 2] == (self)) || \
  (KEPT > 3 && (v) > 3 && maker[(v) - 3] == (self))))
#endif
/* Whether the identifier of a change that made version v would still be kept by a root. */
#define covers(root, v) ((v) + KEPT > (root))

inline build(self, root) {
  expected[self] = root;
#ifdef REBASE_FROM_BASE
  newFirst[self] = first[base[self]];
  newSecond[self] = second[base[self]];
#else
  newFirst[self] = first[root];
  newSecond[self] = second[root];
#endif
  if :: changes_first(self) -> newFirst[self] = self :: else fi;
  if :: changes_second(self) -> newSecond[self] = self :: else fi
}

proctype Operator(byte self) {
  byte root;
  byte tries;
  byte resends;
  bit hasAttempt;
  bit isToWrite;

  atomic {
    base[self] = version;
    if
    :: self < 3 -> parts[self] = self
    :: self == OPERATORS -> parts[self] = 1
    :: self == OPERATORS -> parts[self] = 3
    fi
  }
read:
  if
  :: d_step { true -> root = version }
  :: tries < TRIES -> tries++; goto read /* The read is not answered. */
  :: d_step { tries == TRIES ->
       if :: hasAttempt || may_have_been_sent(resends) -> finish(self, UNRESOLVED) :: else -> finish(self, REJECTED) fi }
     goto done
  fi;
consider:
  skip;
  d_step {
    isToWrite = 0;
    if
    :: is_kept(self, root) -> finish(self, ACCEPTED)
    :: else ->
      if
      :: hasAttempt && expected[self] == root -> isToWrite = 1
#ifndef NO_COVER_CHECK
      :: hasAttempt && expected[self] != root && !covers(root, expected[self] + 1) -> finish(self, UNRESOLVED)
#endif
      :: else ->
        if
#ifndef REBASE_CONFLICTING
        :: overlaps(self, root) -> finish(self, CONFLICT)
#endif
        :: else -> build(self, root); hasAttempt = 1; isToWrite = 1; onItsWay[self] = 0
        fi
      fi
    fi;
    root = 0
  }
  if
  :: !isToWrite -> goto done
  :: else
  fi;
  if
  :: d_step { can_succeed(self) -> take_effect(self); finish(self, ACCEPTED) } goto done
  :: d_step { version != expected[self] -> root = version } goto consider
  :: d_step { can_succeed(self) && tries < TRIES -> take_effect(self); tries++ } goto read /* The answer is lost. */
  :: d_step { tries < TRIES -> onItsWay[self] = 1; tries++ } goto read /* The write is lost or late. */
  :: d_step { tries == TRIES -> onItsWay[self] = 1; finish(self, UNRESOLVED) }
  fi;
done:
  if
  :: d_step { answer[self] == UNRESOLVED && resends < RESENDS ->
       /* The commands are applied to the configuration that is in force now. */
       resends++; tries = 0; hasAttempt = 0; answer[self] = WAITING; base[self] = version }
     goto read
  :: true
  fi
}

/* Carries out writes that are late. */
proctype LateWrites() {
  end: do
  :: d_step { onItsWay[1] && can_succeed(1) -> onItsWay[1] = 0; take_effect(1) }
  :: d_step { onItsWay[2] && can_succeed(2) -> onItsWay[2] = 0; take_effect(2) }
#if OPERATORS > 2
  :: d_step { onItsWay[3] && can_succeed(3) -> onItsWay[3] = 0; take_effect(3) }
#endif
  od
}

init {
  atomic {
    run LateWrites();
    run Operator(1);
    run Operator(2);
#if OPERATORS > 2
    run Operator(3)
#endif
  }
}
