import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfirmedRecords } from '../src/key-values/confirmed-records.js';
import type { ItemPage, StoreCallCodec, StoreOutcome } from '../src/key-values/index.js';

const unavailable = { detail: 'status 503', kind: 'unavailable' } as const;
const value = Buffer.from('record');

/** Records in a store that does not answer the first calls; each call and each delay takes 100 ms. */
function createHarness(
  failures: number,
  backOffMilliseconds = 100,
): {
  readonly clock: () => number;
  readonly calls: string[];
  readonly records: ConfirmedRecords;
} {
  const calls: string[] = [];
  let now = 0;
  let remaining = failures;
  const call = <Value>(name: string, result: Value): StoreOutcome<Value> => {
    calls.push(name);
    now += 100;
    remaining -= 1;
    return remaining >= 0 ? unavailable : { kind: 'ok', value: result };
  };
  const createCall = (name: string): { readonly name: string } => ({ name });
  const items = [{ key: 'departures/i-1/any', revision: 7, value }];
  const page: ItemPage = { hasMore: false, items, removedKeys: [], revision: 9 };
  const records = new ConfirmedRecords({
    clock: () => now,
    codec: {
      remove: (key: string, revision: number) => createCall(`remove ${key} ${revision}`),
      write: (key: string) => createCall(`write ${key}`),
    } as unknown as StoreCallCodec,
    delays: {
      backOff: (_failures, limitMilliseconds?: number) => {
        now += Math.min(backOffMilliseconds, limitMilliseconds ?? Infinity);
        return Promise.resolve();
      },
    },
    prefix: 'departures/',
    storeClient: {
      call: ({ name }) => Promise.resolve(call(name, undefined) as StoreOutcome<never>),
      list: (prefix, isStaleAllowed) =>
        Promise.resolve(call(`list ${prefix}${isStaleAllowed ? ' stale' : ''}`, page)),
    },
  });
  return { calls, clock: () => now, records };
}

test('a write is repeated until the store acknowledges it, as long as the server waits', async () => {
  const brief = createHarness(2);
  assert.ok(await brief.records.write('i-1/any', value));
  assert.equal(
    brief.calls,
    Array.from({ length: 3 }, () => 'write departures/i-1/any'),
  );
  const long = createHarness(100);
  assert.not(await long.records.write('i-1/any', value));
  assert.is(long.calls.length, 5);
});

// Regression: the back-off ran past the time, so the server had given up before it heard that its departure was not recorded.
test('a write that is not acknowledged ends in time, however long the back-off is', async () => {
  const { clock, records } = createHarness(100, 400);
  assert.not(await records.write('i-1/any', value));
  assert.is(clock(), 850);
});

test('a read is up to date, and repeated until the store answers', async () => {
  const { calls, records } = createHarness(20);
  assert.equal(await records.read('i-1'), [value]);
  assert.equal(new Set(calls), new Set(['list departures/i-1/']));
});

test('records are written again after a restore of the store', async () => {
  const { calls, records } = createHarness(0);
  await records.write('i-1/any', value);
  records.handleStoreRestored();
  assert.equal(calls, ['write departures/i-1/any', 'write departures/i-1/any']);
});

test('only expired records are removed, unless they changed', async () => {
  const { calls, records } = createHarness(0);
  await records.removeExpired(() => false);
  await records.removeExpired((stored) => stored === value);
  assert.equal(calls, [
    'list departures/ stale',
    'list departures/ stale',
    'remove departures/i-1/any 7',
  ]);
});

test.run();
