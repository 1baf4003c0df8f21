import { PlatformStandIn, type PlatformFault } from '@peridotspring/stand-ins';
import { maximumDeletedKeys, type StoreOperation, type StoreResult } from '@peridotspring/core';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { PlatformStore } from '../src/index.js';

interface Context {
  standIn: PlatformStandIn;
  store: PlatformStore;
}

const contract = suite<Context>('PlatformStore');

contract.before.each(async (context) => {
  context.standIn = new PlatformStandIn();
  const url = await context.standIn.listen();
  const options = { timeoutMilliseconds: 250, watchReadIntervalMilliseconds: 200 };
  context.store = new PlatformStore({ url, ...options });
});

contract.after.each(async (context) => {
  context.store.close();
  await context.standIn.close();
});

function execute(store: PlatformStore, operation: StoreOperation): Promise<StoreResult> {
  return new Promise((resolve) => {
    store.execute(operation, resolve);
  });
}

function compareAndSwap(expectedVersion: number, value: string): StoreOperation {
  return { kind: 'compare-and-swap', key: 'a', expectedVersion, value };
}

const readA: StoreOperation = { kind: 'read', key: 'a' };

contract(
  'a write succeeds only with the expected version, so that of two concurrent writers one fails',
  async ({ store }) => {
    assert.equal(await execute(store, readA), { kind: 'missing' });
    assert.equal(await execute(store, compareAndSwap(0, 'één')), { kind: 'written', version: 1 });
    const entry = { key: 'a', value: 'één', version: 1 };
    assert.equal(await execute(store, compareAndSwap(0, 'two')), { kind: 'conflict', entry });
    assert.equal(await execute(store, compareAndSwap(1, 'two')), { kind: 'written', version: 2 });
    const newest = { key: 'a', value: 'two', version: 2 };
    assert.equal(await execute(store, readA), { kind: 'found', entry: newest });
  },
);

contract(
  'keys are deleted in the transaction of a write, so that a failed guard deletes nothing',
  async ({ store }) => {
    const names = ['a/1', 'a/2', 'a/3', 'b'];
    for (const key of names) {
      await execute(store, { kind: 'compare-and-swap', key, expectedVersion: 0, value: key });
    }
    const list = { kind: 'list', key: 'a/', end: 'a0', limit: 2 } as const;
    const firstTwo = { kind: 'listed', keys: ['a/1', 'a/2'], isComplete: false } as const;
    assert.equal(await execute(store, list), firstTwo);
    const write = { kind: 'compare-and-swap', key: 'c', expectedVersion: 0, value: '' } as const;
    const deletedKeys = ['a/1', 'a/3', 'absent'];
    const refused = { ...write, guard: { key: 'b', version: 2 }, deletedKeys };
    assert.equal(await execute(store, refused), { kind: 'conflict', entry: undefined });
    assert.equal(await execute(store, list), firstTwo);
    const granted = { ...write, guard: { key: 'b', version: 1 }, deletedKeys };
    assert.equal(await execute(store, granted), { kind: 'written', version: 1 });
    assert.equal(await execute(store, list), { kind: 'listed', keys: ['a/2'], isComplete: true });
  },
);

contract(
  'the maximum number of deleted keys stays within the limit on operations per transaction',
  async ({ store }) => {
    const deletedKeys = Array.from({ length: maximumDeletedKeys }, (_, index) => `key-${index}`);
    const write = { kind: 'compare-and-swap', key: 'c', expectedVersion: 0, value: '' } as const;
    assert.is((await execute(store, { ...write, deletedKeys })).kind, 'written');
    const tooMany = [...deletedKeys, ...deletedKeys];
    const result = await execute(store, { ...write, expectedVersion: 1, deletedKeys: tooMany });
    assert.is(result.kind, 'unknown');
  },
);

/** Faults with the result of a write during the fault, and whether the write took effect. */
const faultCases: readonly {
  readonly name: string;
  readonly fault: PlatformFault;
  readonly end: PlatformFault;
  readonly result: StoreResult['kind'];
  readonly tookEffect: boolean;
}[] = [
  {
    name: 'down',
    fault: { kind: 'down', active: true },
    end: { kind: 'down', active: false },
    result: 'unknown',
    tookEffect: false,
  },
  {
    name: 'slow within the timeout',
    fault: { kind: 'slow', milliseconds: 20 },
    end: { kind: 'slow', milliseconds: 0 },
    result: 'written',
    tookEffect: true,
  },
  {
    name: 'slow beyond the timeout, after the write took effect',
    fault: { kind: 'slow', milliseconds: 600, when: 'after-effect' },
    end: { kind: 'slow', milliseconds: 0 },
    result: 'unknown',
    tookEffect: true,
  },
  {
    name: 'losing the response after the write took effect',
    fault: { kind: 'lose-answers', transactions: 1 },
    end: { kind: 'lose-answers', transactions: 0 },
    result: 'unknown',
    tookEffect: true,
  },
];

for (const row of faultCases) {
  contract(
    `a write while the store is ${row.name} never reports an uncertain effect as certain`,
    async ({ standIn, store }) => {
      standIn.inject(row.fault);
      assert.is((await execute(store, compareAndSwap(0, 'one'))).kind, row.result);
      assert.is(store.isResponding, row.result !== 'unknown');
      standIn.inject(row.end);
      assert.is((await execute(store, readA)).kind, row.tookEffect ? 'found' : 'missing');
      assert.ok(store.isResponding);
    },
  );
}

contract('a write of a value over 1 MB is not reported as written', async ({ store }) => {
  const result = await execute(store, compareAndSwap(0, 'x'.repeat(1_000_001)));
  assert.is(result.kind, 'unknown');
  assert.equal(await execute(store, readA), { kind: 'missing' });
});

contract('waiters for one key share a watch stream', async ({ standIn, store }) => {
  const waiting = [0, 0, 1].map((afterVersion) =>
    execute(store, { kind: 'watch', key: 'a', afterVersion }),
  );
  await execute(store, compareAndSwap(0, 'one'));
  const first = await Promise.all(waiting.slice(0, 2));
  assert.equal(
    first.map((result) => result.kind),
    ['found', 'found'],
  );
  await execute(store, compareAndSwap(1, 'two'));
  assert.is((await waiting[2])?.kind, 'found');
  assert.is(standIn.callCounts['/v3/watch'], 1);
  assert.is(store.counters.watches, 1);
});

contract('a change made before the watch started is not missed', async ({ store }) => {
  await execute(store, compareAndSwap(0, 'one'));
  const result = await execute(store, { kind: 'watch', key: 'a', afterVersion: 0 });
  assert.is(result.kind, 'found');
});

for (const fault of [
  { kind: 'cut-watches' },
  { kind: 'down', active: true },
] satisfies PlatformFault[]) {
  contract(
    `a watch ends with unknown on ${fault.kind}, so that the caller can start another`,
    async ({ standIn, store }) => {
      const waiting = execute(store, { kind: 'watch', key: 'a', afterVersion: 0 });
      while (standIn.openWatches === 0) await new Promise((resolve) => setTimeout(resolve, 5));
      standIn.inject(fault);
      assert.equal(await waiting, { kind: 'unknown' });
    },
  );
}

contract(
  'a change is found although the watch stream is open but delivers nothing',
  async ({ standIn, store }) => {
    standIn.inject({ kind: 'mute-watches', active: true });
    const waiting = execute(store, { kind: 'watch', key: 'a', afterVersion: 0 });
    await execute(store, compareAndSwap(0, 'one'));
    assert.is((await waiting).kind, 'found');
  },
);

contract('closing the client delivers a result to every pending operation', async ({ store }) => {
  const waiting = execute(store, { kind: 'watch', key: 'a', afterVersion: 0 });
  store.close();
  assert.equal(await waiting, { kind: 'unknown' });
  assert.equal(await execute(store, readA), { kind: 'unknown' });
});

contract('a watch without a response is counted as an outage', async ({ standIn, store }) => {
  await execute(store, readA);
  standIn.inject({ kind: 'down', active: true });
  const watched = await execute(store, { kind: 'watch', key: 'a', afterVersion: 0 });
  assert.equal(watched, { kind: 'unknown' });
  assert.not.ok(store.isResponding);
  assert.is(store.counters.unanswered, 1);
});

contract.run();
