import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DepartureLedger, IncarnationStatus } from '../../src/index.js';

const { Departed, Present, Unverified } = IncarnationStatus;
const first = { instanceId: 'i-1', startedAt: 1_000 };
const second = { instanceId: 'i-1', startedAt: 2_000 };
const unknownStart = { instanceId: 'i-1' };

/** Name, what the ledger learns, and the status of the first and the second incarnation and of one whose start is unknown. */
const cases: readonly (readonly [
  string,
  (ledger: DepartureLedger) => void,
  readonly IncarnationStatus[],
])[] = [
  [
    'an instance is unverified until the store was read',
    () => undefined,
    [Unverified, Unverified, Unverified],
  ],
  [
    'an instance without records is present',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [], isComplete: true });
    },
    [Present, Present, Present],
  ],
  [
    'a record binds its incarnation and earlier ones, and not a later one under the same identifier',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [first], isComplete: true });
    },
    [Departed, Present, Departed],
  ],
  [
    'a record without a start binds all incarnations',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [unknownStart], isComplete: true });
    },
    [Departed, Departed, Departed],
  ],
  [
    'records that may be incomplete prove departures, but no presence',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [first], isComplete: false });
    },
    [Departed, Unverified, Departed],
  ],
  [
    'a proof of presence counts for its incarnation and later ones',
    (ledger) => {
      ledger.onPresenceProven(second);
    },
    [Unverified, Present, Present],
  ],
  [
    'an announcement counts more than an earlier read or proof',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [], isComplete: true });
      ledger.onPresenceProven(second);
      ledger.onAnnounced(second);
    },
    [Departed, Departed, Departed],
  ],
  [
    'an instance whose announcement was forgotten is unverified again',
    (ledger) => {
      ledger.onRecordsRead('i-1', { departures: [], isComplete: true });
      ledger.onAnnounced(first);
      for (let count = 0; count < 64; count += 1) ledger.onAnnounced({ instanceId: `j-${count}` });
    },
    [Unverified, Unverified, Unverified],
  ],
];

for (const [name, learn, expected] of cases) {
  test(name, () => {
    const ledger = new DepartureLedger();
    learn(ledger);
    const statuses = [first, second, unknownStart].map((incarnation) =>
      ledger.statusOf(incarnation),
    );
    assert.equal(statuses, expected);
  });
}

test.run();
