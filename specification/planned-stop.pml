/*
 * Planned stop (design section 5): the home of a range hands its records to the next home, while
 * requests for two keys, a crash of either home, lost and late messages, lost answers of the store
 * and an abandoned first transfer interleave.
 *
 * Table 1 names the old home. Table 2 is either the hand-over, which names a transfer, or a takeover.
 * Leases are abstract here (at-most-once.pml has them in time): the old home's lease has ended when
 * it released it, stopped, or `leaseOver` was set; the new home acts only then.
 *
 * Variants that leave out one mechanism and must fail:
 *   NO_ACKNOWLEDGEMENT, NO_TRANSFER_ID, NO_ACCEPT_STOP, NO_WAIT_FOR_RUNNING, RESUME_AFTER_LOST_ANSWER
 */
#define KEYS 2
#define TRANSFERS 2

#define NONE 0
#define RUNNING 1
#define RAN 2

#define NOBODY 0
#define HANDED_OVER 1      /* table 2 names the new home and transfer `tableTransfer` */
#define TAKEN_OVER 2       /* table 2 names the new home and no transfer */

bit oldAlive = 1;
bit accepting = 1;         /* the old home accepts requests for the range */
bit leaseOver;
byte record[KEYS];         /* the old home's */
bit running[KEYS];         /* a dispatch of the old home is on its way */
byte runs[KEYS];
bit createdBeforeTakeover[KEYS];
bit everRan[KEYS];         /* the old home recorded a run of the key */

byte transfer;             /* number of the transfer that is going on; 0: none */
byte started;              /* transfers started so far */
bit sent[2];               /* records-transfer of one key each on its way, for `sentTransfer` */
bit sentHas[2];            /* whether the part holds a record of that key */
byte sentTransfer[2];
bit acknowledged[2];       /* the old home has the acknowledgement of this part */
byte ackTransfer[2];       /* an acknowledgement on its way; 0: none */

byte table2 = NOBODY;
byte tableTransfer;
bit writeSent;             /* the old home sent its write and has no answer */
bit writeLate;             /* that write can still take effect */
bit oldKnows;              /* the old home knows that table 2 exists */

bit newAlive = 1;
bit newActive;
bit inherited;             /* it activated with the records of a transfer */
byte staged[2];            /* transfer of which part k is staged; 0: none */
bit stagedHas[2];
byte newRecord[KEYS];
bit newRunning[KEYS];
byte k;

inline old_accept(key) { record[key] = RUNNING; running[key] = 1 }

inline start_transfer() {
  started++; transfer = started;
#ifndef NO_ACCEPT_STOP
  accepting = 0;
#endif
  acknowledged[0] = 0; acknowledged[1] = 0
}

#ifdef NO_WAIT_FOR_RUNNING
#define may_send (transfer > 0 && oldAlive && !writeSent)
#else
#define may_send (transfer > 0 && oldAlive && !writeSent && !running[0] && !running[1])
#endif

#ifdef NO_ACKNOWLEDGEMENT
#define may_write (may_send)
#else
#define may_write (may_send && acknowledged[0] && acknowledged[1])
#endif

inline write_takes_effect() {
  writeLate = 0;
  if :: table2 == NOBODY -> table2 = HANDED_OVER; tableTransfer = transfer :: else fi
}

inline old_learns() { oldKnows = 1; accepting = 0; writeSent = 0; transfer = 0; leaseOver = 1 }

inline activate_new() {
  newActive = 1;
  if
#ifdef NO_TRANSFER_ID
  :: staged[0] > 0 && staged[1] > 0 ->
#else
  :: table2 == HANDED_OVER && staged[0] == tableTransfer && staged[1] == tableTransfer ->
#endif
    inherited = 1;
    k = 0;
    do
    :: k < KEYS ->
      if :: stagedHas[k] -> newRecord[k] = RAN :: else fi;
      /* Nothing recorded is lost by a planned stop. */
      assert(!everRan[k] || stagedHas[k]);
      k++
    :: else -> break
    od;
    k = 0
  :: else ->
    /* A takeover: every key that exists by now is cut off. A hand-over never ends like this. */
    assert(table2 == TAKEN_OVER)
  fi
}

#define KEY_STEPS(key) \
  :: d_step { oldAlive && accepting && !leaseOver && record[key] == NONE -> \
       createdBeforeTakeover[key] = 1; old_accept(key) } \
  :: d_step { running[key] -> running[key] = 0; runs[key]++; assert(runs[key] == 1); \
       if :: oldAlive -> record[key] = RAN; everRan[key] = 1 :: else fi } \
  :: d_step { may_send && !sent[key] -> sent[key] = 1; sentHas[key] = (record[key] == RAN); sentTransfer[key] = transfer } \
  :: d_step { sent[key] -> sent[key] = 0 /* lost */ } \
  :: d_step { sent[key] && newAlive && !newActive && sentTransfer[key] >= staged[key] -> \
       staged[key] = sentTransfer[key]; stagedHas[key] = sentHas[key]; ackTransfer[key] = sentTransfer[key]; sent[key] = 0 } \
  :: d_step { ackTransfer[key] > 0 -> \
       if :: oldAlive && ackTransfer[key] == transfer -> acknowledged[key] = 1 :: else fi; ackTransfer[key] = 0 } \
  :: d_step { ackTransfer[key] > 0 -> ackTransfer[key] = 0 /* lost */ } \
  :: d_step { newAlive && newActive && newRecord[key] == NONE && !newRunning[key] && \
       (inherited || !createdBeforeTakeover[key]) -> newRunning[key] = 1; newRecord[key] = RUNNING } \
  :: d_step { newRunning[key] -> newRunning[key] = 0; runs[key]++; assert(runs[key] == 1); newRecord[key] = RAN }

init {
  do
  KEY_STEPS(0)
  KEY_STEPS(1)
  :: d_step { oldAlive && transfer == 0 && started < TRANSFERS && !oldKnows -> start_transfer() }
  /* Abandons a transfer that is not acknowledged in time; only before its write was sent. */
  :: d_step { oldAlive && transfer > 0 && !writeSent -> transfer = 0; accepting = 1 }
  :: d_step { may_write -> writeSent = 1; writeLate = 1 }
  :: d_step { writeLate -> write_takes_effect() }
  /* The answer arrives, or the old home reads the table once the version has moved on. */
  :: d_step { oldAlive && writeSent && table2 != NOBODY -> old_learns() }
#ifdef RESUME_AFTER_LOST_ANSWER
  /* Takes a lost answer for a failed write. */
  :: d_step { oldAlive && writeSent -> writeSent = 0; transfer = 0; accepting = 1 }
#endif
  /* Others believe that the old home is dead. */
  :: d_step { table2 == NOBODY -> table2 = TAKEN_OVER }
  :: d_step { oldAlive && !oldKnows && table2 != NOBODY -> old_learns() }
  :: d_step { oldAlive -> oldAlive = 0; leaseOver = 1 /* crash */ }
  :: d_step { !leaseOver && table2 != NOBODY -> leaseOver = 1 /* witnesses accepted table 2 after the promise */ }
  :: d_step { newAlive && !newActive && table2 != NOBODY && leaseOver -> activate_new() }
  :: d_step { newAlive && !newActive -> newAlive = 0; staged[0] = 0; staged[1] = 0 /* crash */ }
  od
}
