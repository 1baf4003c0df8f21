/*
 * Frames that are sent again over broken connections: a request that must not repeat runs at most
 * once, and one that was refused has not run.
 *
 * An entry asks a first gate, and a second one if the first declined. Connections break at any time
 * and lose the frames on them; the entry then sends the frame of its attempt again. A gate remembers
 * the calls that it knows with their replies, and loses them when its process starts again.
 *
 * Variants without a mechanism, each of which must fail:
 *   NO_RECORD      a gate does not recognize a frame that it had before
 *   FORGET_EARLY   a gate forgets a finished call while its entry may still send the frame
 *   ANY_LIFE       the entry sends the frame again to a later life of the gate's process
 *   MOVE_UNKNOWN   an attempt whose gate has ended is taken for one that did not run
 */

#ifndef BREAKS
#define BREAKS 3
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

#define GATES 2

#define ANSWERED 1
#define DECLINED 2
#define REFUSED 3
#define UNKNOWN 4

/* Frames carry the number of their connection; those of an earlier one are lost. */
chan toGate[GATES] = [2] of { byte };
chan toEntry[GATES] = [2] of { byte, byte };
byte connection[GATES];
byte life[GATES];
/* The reply of each gate to its only call; 0 if the gate does not know the call. */
byte record[GATES];

byte runs = 0;
byte outcome = 0;

inline ask(gate) {
  attemptLife = life[gate];
  seenConnection = connection[gate];
  if
  :: nfull(toGate[gate]) -> toGate[gate] ! connection[gate]
  :: full(toGate[gate]) -> skip
  fi
}

inline moveOrRefuse() {
  if
  :: current == 0 -> current = 1; ask(1)
  :: else -> outcome = REFUSED
  fi
}

proctype Entry() {
  byte current = 0;
  byte attemptLife;
  byte seenConnection;
  byte number;
  byte reply;

  atomic { ask(0) }
  end: do
  :: atomic { outcome == 0 && toEntry[current] ? [number, reply] -> toEntry[current] ? number, reply;
       if
       :: number != connection[current] -> skip
       :: number == connection[current] && reply == ANSWERED -> outcome = ANSWERED
       :: number == connection[current] && reply == DECLINED -> moveOrRefuse()
       fi
     }
  /* The connection to the gate of the attempt is up again. */
  :: atomic { outcome == 0 && seenConnection != connection[current] ->
       if
#ifndef ANY_LIFE
       :: attemptLife != life[current] ->
#ifdef MOVE_UNKNOWN
            moveOrRefuse()
#else
            outcome = UNKNOWN
#endif
       :: attemptLife == life[current] -> ask(current)
#else
       :: true -> ask(current)
#endif
       fi
     }
  od
}

inline answer(gate, number) {
  if
  :: nfull(toEntry[gate]) -> toEntry[gate] ! number, record[gate]
  :: full(toEntry[gate]) -> skip
  fi
}

proctype Gate(byte self) {
  byte number;

  end: do
  :: atomic { toGate[self] ? [number] -> toGate[self] ? number;
       if
       :: number != connection[self] -> skip
#ifndef NO_RECORD
       :: number == connection[self] && record[self] != 0 -> answer(self, number)
       :: number == connection[self] && record[self] == 0 ->
#else
       :: number == connection[self] ->
#endif
          if
          :: runs++; record[self] = ANSWERED
          :: record[self] = DECLINED
          fi;
          answer(self, number)
       fi
     }
#ifdef FORGET_EARLY
  :: atomic { record[self] != 0 -> record[self] = 0 }
#endif
  od
}

proctype Faults() {
  byte breaks = 0;
  byte restarts = 0;
  byte gate;

  end: do
  :: atomic { breaks < BREAKS -> breaks++;
       select(gate : 0 .. 1);
       connection[gate]++
     }
  :: atomic { restarts < RESTARTS -> restarts++;
       select(gate : 0 .. 1);
       connection[gate]++;
       life[gate]++;
       record[gate] = 0
     }
  od
}

proctype Checker() {
  end: do
  :: atomic { runs > 1 -> assert(false) }
  :: atomic { outcome == REFUSED && runs > 0 -> assert(false) }
  od
}

init {
  atomic {
    run Entry();
    run Gate(0);
    run Gate(1);
    run Faults();
    run Checker()
  }
}
