/*
 * Draining: no request starts at a gate after it has drained, whatever routers still send, and
 * every request that the gate accepted finishes.
 *
 * Two routers send requests by their own, possibly stale, view of the gate. The news of the
 * draining reaches each of them late or never. The upstream beside the gate runs requests and the
 * process stops once the gate has said that it is empty.
 *
 * Variants without a mechanism, each of which must fail:
 *   ROUTERS_DECIDE   the gate runs whatever arrives, only routers stop sending
 *   STOP_AT_ONCE     the process stops when it starts to drain
 *   QUEUE_FORGOTTEN  queued requests are left without an answer
 */

#define ROUTERS 2
#define REQUESTS 2
#define SLOTS 1

#define SENT 1
#define REFUSED 2
#define FINISHED 3

chan toGate = [4] of { byte };
/* State of each request; the index is router * REQUESTS + number. */
byte state[ROUTERS * REQUESTS];
bool isAccepted[ROUTERS * REQUESTS];
bool knowsDraining[ROUTERS];

bool isDraining = false;
bool isStopped = false;
bool startedAfterDrain = false;
byte running = 0;
byte queued = 0;
byte runningRequest;
byte queuedRequest;

/* The news of the draining reaches each router at any time, or never. */
proctype News() {
  end: do
  :: isDraining -> knowsDraining[0] = true
  :: isDraining -> knowsDraining[1] = true
  od
}

proctype Router(byte self) {
  byte number = 0;
  byte request;

  do
  :: number < REQUESTS ->
     request = self * REQUESTS + number;
     number++;
     if
     :: !knowsDraining[self] -> state[request] = SENT; toGate ! request
     :: true -> skip
     fi
  :: else -> break
  od
}

inline begin(request) {
  running++;
  runningRequest = request;
  if
  :: isDraining -> startedAfterDrain = true
  :: else -> skip
  fi
}

proctype Gate() {
  byte request;

  end: do
  :: atomic { !isStopped && toGate ? [request] -> toGate ? request;
       if
#ifndef ROUTERS_DECIDE
       :: isDraining -> state[request] = REFUSED
#endif
#ifdef ROUTERS_DECIDE
       :: running < SLOTS -> isAccepted[request] = true; begin(request)
#else
       :: !isDraining && running < SLOTS -> isAccepted[request] = true; begin(request)
#endif
       :: !isDraining && running == SLOTS && queued == 0 -> queued = 1; queuedRequest = request
       :: running == SLOTS && (queued == 1 || isDraining) -> state[request] = REFUSED
       fi
     }
  /* The upstream finishes what it runs. */
  :: atomic { !isStopped && running > 0 -> running--; state[runningRequest] = FINISHED }
  :: atomic { !isStopped && !isDraining && queued == 1 && running < SLOTS ->
       queued = 0; isAccepted[queuedRequest] = true; begin(queuedRequest) }
  /* The process is told to drain; what waits is refused as not run. */
  :: atomic { !isDraining -> isDraining = true;
#ifndef QUEUE_FORGOTTEN
       if
       :: queued == 1 -> queued = 0; state[queuedRequest] = REFUSED
       :: else -> skip
       fi
#endif
     }
#ifdef STOP_AT_ONCE
  :: atomic { isDraining && !isStopped -> isStopped = true }
#else
  :: atomic { isDraining && !isStopped && running == 0 -> isStopped = true }
#endif
  /* A connection to a stopped process is refused: the request was not run. */
  :: atomic { isStopped && toGate ? [request] -> toGate ? request; state[request] = REFUSED }
  od
}

proctype Checker() {
  end: do
  :: atomic { startedAfterDrain -> assert(false) }
  /* Once the process has stopped, what it accepted has finished and nothing waits for an answer. */
  :: atomic { isStopped && isAccepted[0] && state[0] != FINISHED -> assert(false) }
  :: atomic { isStopped && isAccepted[1] && state[1] != FINISHED -> assert(false) }
  :: atomic { isStopped && isAccepted[2] && state[2] != FINISHED -> assert(false) }
  :: atomic { isStopped && isAccepted[3] && state[3] != FINISHED -> assert(false) }
  :: atomic { isStopped && queued > 0 -> assert(false) }
  od
}

init {
  atomic {
    run News();
    run Router(0);
    run Router(1);
    run Gate();
    run Checker()
  }
}
