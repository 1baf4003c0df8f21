import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { RecordsTransferFrame } from '../../src/index.js';
import { defaultHomeSettings } from '../../src/index.js';
import { HandOver } from '../../src/homes/hand-over.js';
import { KeyRecordStore } from '../../src/homes/key-record-store.js';
import { LocalRange } from '../../src/homes/local-range.js';
import { firstTable } from '../../src/homes/table-plan.js';
import { TransferInbox } from '../../src/homes/transfer-inbox.js';

function part(transfer: string, number: number, last: boolean): RecordsTransferFrame {
  const key = `${transfer}-${number}`;
  return {
    cutoff: 5,
    forgottenUntil: undefined,
    kind: 'records-transfer',
    last,
    part: number,
    range: 0,
    records: [{ digest: 'd', key, recordedAt: 1, state: 'ran', status: 201 }],
    service: 'issuance',
    transfer,
    voidUntil: 6,
  };
}

const wanted = 'a/1/2';
const cases = [
  {
    name: 'complete, parts in any order',
    parts: [part(wanted, 1, true), part(wanted, 0, false)],
    count: 2,
  },
  { name: 'a part sent twice', parts: [part(wanted, 0, true), part(wanted, 0, true)], count: 1 },
  { name: 'a part missing', parts: [part(wanted, 1, true)], count: undefined },
  { name: 'the last part missing', parts: [part(wanted, 0, false)], count: undefined },
  { name: 'an abandoned transfer', parts: [part('a/1/1', 0, true)], count: undefined },
  {
    name: 'mixed with an abandoned transfer',
    parts: [part('a/1/1', 0, false), part(wanted, 1, true)],
    count: undefined,
  },
];

for (const { count, name, parts } of cases) {
  test(`only the complete transfer that the table names is used, or keys could run again: ${name}`, () => {
    const inbox = new TransferInbox(new KeyRecordStore(defaultHomeSettings));
    for (const frame of parts) assert.ok(inbox.receive('a', frame, 0));
    assert.is(inbox.takeComplete('issuance/0', wanted)?.records.length, count);
  });
}

test('a transfer is dropped when its sender is no longer the home, and kept while it is', () => {
  for (const [server, isKept] of [
    ['a', true],
    ['c', false],
  ] as const) {
    const inbox = new TransferInbox(new KeyRecordStore(defaultHomeSettings));
    inbox.receive('a', part(wanted, 0, true), 0);
    inbox.onTableAdopted(firstTable('issuance', { incarnation: 1, server }, []));
    assert.is(inbox.takeComplete('issuance/0', wanted) !== undefined, isKept);
  }
});

test('records for which there is no room are not acknowledged, so the sender keeps them', () => {
  const inbox = new TransferInbox(
    new KeyRecordStore({ ...defaultHomeSettings, maximumRecords: 1 }),
  );
  assert.ok(inbox.receive('a', part(wanted, 0, false), 0));
  assert.not.ok(inbox.receive('a', part(wanted, 1, true), 0));
});

test('the table is not written before the new home has acknowledged every part', () => {
  const records = new KeyRecordStore({ ...defaultHomeSettings });
  const settings = { ...defaultHomeSettings, transferPartBytes: 1 };
  for (const record of [part('x', 0, false), part('x', 1, true)].flatMap((sent) => sent.records)) {
    records.restore('issuance/0', record);
  }
  const localRange = new LocalRange('issuance/0', 0, { incarnation: 1, server: 'a', since: 1 });
  localRange.isActivated = true;
  const newHomes = new Map([[localRange, { incarnation: 1, server: 'b' }]]);
  const handOver = new HandOver(wanted, newHomes, settings, 0);
  assert.not.ok(localRange.isAccepting);
  assert.is(handOver.tick(() => true, records, 0).length, 0, 'an attempt is still running');
  const sent = handOver.tick(() => false, records, 10);
  assert.is(sent.length, 2);
  assert.is(
    handOver.tick(() => false, records, 600).length,
    2,
    'unacknowledged parts are sent again',
  );
  for (const { frame } of sent) {
    assert.not.ok(handOver.isReadyForTableWrite);
    const { part: number, range, service } = frame;
    const received = { kind: 'records-received', part: number, range, service } as const;
    handOver.onRecordsReceived('b', { ...received, transfer: 'a/1/1' });
    handOver.onRecordsReceived('c', { ...received, transfer: wanted });
    assert.not.ok(handOver.isReadyForTableWrite);
    handOver.onRecordsReceived('b', { ...received, transfer: wanted });
  }
  assert.ok(handOver.isReadyForTableWrite);
});

test.run();
