/*
 * The departure of a server: once it is confirmed, no process of the node beside the server uses it again.
 *
 * The process ends and starts at any time, and forgets everything. Reports of the server arrive late, more than once and out of
 * order, and so does the message that it leaves. Health checks pass at any time, also after it has left. The store is away at
 * times. A server that has left sends no further report, but still reads the responses to earlier ones.
 *
 * Variants without a mechanism, each of which must fail:
 *   NO_RECORD        a departure is confirmed without a record in the store
 *   CONFIRM_FIRST    it is confirmed before the store has acknowledged the record
 *   NO_READ          a report counts without a read of the store
 *   TRUST_HEALTH     a health check counts without a read of the store
 *   OLD_READ         the read may be from before the last write
 *   SAME_ADDRESS     the address to which a server proves that it is running is the same in all processes
 */

#ifndef STARTS
#define STARTS 4
#endif

/* Number of the present process. */
byte process = 1;
bool isUsed = false;
bool isVerified = false;
bool isDepartureKnown = false;

bool isStoreAway = false;
bool isRecorded = false;
/* Whether an old read still lacks the record. */
bool isOldCopyWithout = true;

bool hasLeft = false;
bool isConfirmed = false;
/* Whether a process has the message that the server leaves, and has not answered it yet. */
bool isLeaving = false;
/* The process whose address the server reports to, 0 for the usual address. */
byte namedBy = 0;
/* Reports on their way, to the usual address and to that of each process; each may arrive any number of times. */
bool isReported = false;
bool isReportedTo[STARTS + 1];

inline use() {
  if
  :: !isDepartureKnown -> isUsed = true
  :: else -> skip
  fi
}

/* Handles evidence of the server that may be old. */
inline onEvidence() {
  if
  :: isVerified -> use()
  :: !isVerified && !isStoreAway ->
     if
#ifdef OLD_READ
     :: isRecorded && !isOldCopyWithout -> isDepartureKnown = true
     :: !isRecorded || isOldCopyWithout -> isVerified = true; use()
#else
     :: isRecorded -> isDepartureKnown = true
     :: else -> isVerified = true; use()
#endif
     fi
  :: !isVerified && isStoreAway -> skip
  fi
}

active proctype Server() {
  end: do
  :: atomic { !hasLeft && namedBy == 0 -> isReported = true }
  :: atomic { !hasLeft && namedBy != 0 -> isReportedTo[namedBy] = true }
  :: atomic { namedBy != 0 -> namedBy = 0 }
  :: atomic { !hasLeft -> hasLeft = true }
  od
}

active proctype Node() {
  end: do
  /* A report to the usual address arrives. While the store is away, the response names an address of this process. */
  :: atomic {
       isReported ->
#ifdef NO_READ
       use()
#else
       onEvidence();
       if
       :: !isVerified && isStoreAway && !isDepartureKnown -> namedBy = process
       :: else -> skip
       fi
#endif
     }
  /* A report to a named address arrives; only that of the present process is open. */
#ifdef SAME_ADDRESS
  :: atomic { isReportedTo[1] || isReportedTo[2] || isReportedTo[3] || isReportedTo[4] -> isVerified = true; use() }
#else
  :: atomic { isReportedTo[process] -> isVerified = true; use() }
#endif
  /* A health check passes. */
#ifdef TRUST_HEALTH
  :: atomic { true -> use() }
#else
  :: atomic { true -> onEvidence() }
#endif
  /* The message that the server leaves arrives, possibly again. */
  :: atomic { hasLeft -> isDepartureKnown = true; isUsed = false; isLeaving = true }
#ifdef NO_RECORD
  :: atomic { isLeaving -> isConfirmed = true; isLeaving = false }
#else
#ifdef CONFIRM_FIRST
  :: atomic { isLeaving -> isConfirmed = true }
#endif
  :: atomic { isLeaving && !isStoreAway -> isRecorded = true }
  :: atomic { isLeaving && isRecorded -> isConfirmed = true; isLeaving = false }
#endif
  :: atomic { isRecorded -> isOldCopyWithout = false }
  :: atomic {
       process < STARTS ->
       process++; isUsed = false; isVerified = false; isDepartureKnown = false; isLeaving = false
     }
  :: isStoreAway = !isStoreAway
  od
}

active proctype Monitor() {
  end: do
  :: atomic { isConfirmed -> assert(!isUsed) }
  od
}
