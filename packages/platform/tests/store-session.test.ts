import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StoreSession } from '../src/key-values/index.js';
import type {
  ItemPage,
  StoreCall,
  StoreCallCodec,
  StoredItem,
  StoreOutcome,
  StoreTransport,
} from '../src/key-values/index.js';

type FakeResponse = StoreOutcome<unknown> | 'silent';

/** A store whose response depends on the name of the call, and whose content and faults are set by the test. */
class FakeStore implements StoreTransport {
  public readonly calls: string[] = [];
  public revision = 1;
  public configuration = 'first';
  public records: readonly StoredItem[] = [];
  /** The stored entry of the node; `undefined` if it is missing. */
  public entry: string | undefined;
  public outageResponse: FakeResponse | undefined;
  /** Whether the node would use a proof of what the store holds. */
  public isProofDue = false;
  /** Number of further watches answered with `compacted`: the store no longer has the changes since their revision. */
  public compactedWatches = 0;
  private readonly pendingWatches = new Set<() => void>();

  public async execute<Value>(
    { name }: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<StoreOutcome<Value>> {
    this.calls.push(name);
    const response = this.outageResponse ?? (await this.respond(name, signal));
    if (response !== 'silent') return response as StoreOutcome<Value>;
    return new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        resolve({ detail: 'call aborted', kind: 'unavailable' });
      });
    });
  }

  public changeConfiguration(configuration: string): void {
    this.configuration = configuration;
    this.revision += 1;
    for (const wake of this.pendingWatches) wake();
  }

  public countCalls(name: string): number {
    return this.calls.filter((call) => call === name).length;
  }

  private async respond(name: string, signal?: AbortSignal): Promise<FakeResponse> {
    switch (name) {
      case 'write':
        this.entry = 'a';
        return { kind: 'ok', value: undefined };
      case 'remove':
        this.entry = undefined;
        return { kind: 'ok', value: undefined };
      case 'list-entry':
      case 'list-entry-old':
        return { kind: 'ok', value: this.page(this.ownItems()) };
      case 'list-nodes-old': {
        const others = [{ key: 'nodes/b', revision: 1, value: bytes('b') }];
        return { kind: 'ok', value: this.page([...this.ownItems(), ...others, ...this.records]) };
      }
      case 'list-record':
        return { kind: 'ok', value: this.page(this.records) };
      case 'list-configuration':
      case 'list-configuration-old':
        return { kind: 'ok', value: this.page([this.configurationItem()]) };
      case 'watch-at-once':
        return { kind: 'ok', value: this.page([]) };
      case 'watch':
        if (this.compactedWatches > 0) {
          this.compactedWatches -= 1;
          return { kind: 'compacted' };
        }
        await new Promise<void>((resolve) => {
          this.pendingWatches.add(resolve);
          signal?.addEventListener('abort', () => {
            resolve();
          });
        });
        if (signal?.aborted === true) return { detail: 'watch aborted', kind: 'unavailable' };
        return { kind: 'ok', value: this.page([this.configurationItem()]) };
      default:
        return { kind: 'ok', value: undefined };
    }
  }

  private ownItems(): readonly StoredItem[] {
    if (this.entry === undefined) return [];
    return [{ key: 'nodes/a', revision: 1, value: bytes(this.entry) }];
  }

  private configurationItem(): StoredItem {
    return { key: 'config', revision: this.revision, value: bytes(this.configuration) };
  }

  private page(items: readonly StoredItem[]): ItemPage {
    return { hasMore: false, items, removedKeys: [], revision: this.revision };
  }
}

const bytes = (text: string): Uint8Array => Buffer.from(text);

const call = <Value>(name: string): StoreCall<Value> => ({
  method: 'GET',
  name,
  parse: () => ({ kind: 'missing' }),
  path: '/',
});

const listNames: Readonly<Record<string, string>> = {
  config: 'list-configuration',
  'nodes/a': 'list-entry',
  '': 'list-nodes',
  'records/a': 'list-record',
};

const codec: StoreCallCodec = {
  configurationKey: 'config',
  operatorPrefix: 'config',
  eraHeader: 'era',
  list: (prefix, _after, isOldEnough) =>
    call(`${listNames[prefix] ?? prefix}${isOldEnough ? '-old' : ''}`),
  parseEra: Number,
  parseEvacuationKey: () => undefined,
  remove: () => call('remove'),
  watch: (_prefix, _revision, holdMilliseconds) =>
    call(holdMilliseconds > 1 ? 'watch' : 'watch-at-once'),
  write: () => call('write'),
};

interface RecordedEvents {
  readonly configurations: string[];
  readonly entryKeys: string[];
  readonly records: string[];
  readonly reachability: boolean[];
  readonly eras: string[];
  /** Revision of the store at each confirmation. */
  readonly confirmations: number[];
  /** The call that each proof counts from. */
  readonly proofs: string[];
  directoryReads: number;
}

async function withSession(
  runTest: (store: FakeStore, recorded: RecordedEvents, session: StoreSession) => Promise<void>,
  isWatching = true,
  store = new FakeStore(),
): Promise<void> {
  const recorded: RecordedEvents = {
    configurations: [],
    confirmations: [],
    eras: [],
    entryKeys: [],
    proofs: [],
    records: [],
    reachability: [],
    directoryReads: 0,
  };
  const session = new StoreSession({
    clock: () => performance.now(),
    codec,
    onConfigurationRead: (content) => recorded.configurations.push(Buffer.from(content).toString()),
    onEvacuationsRead: () => undefined,
    directoryPrefix: 'nodes/',
    commonPrefix: '',
    departurePrefix: 'departures/',
    isDepartureExpired: () => false,
    recordPrefix: 'records/',
    onRecordRead: (value) => recorded.records.push(Buffer.from(value).toString()),
    onDirectoryRead: () => (recorded.directoryReads += 1),
    createEntry: () => bytes('a'),
    readRecordsEra: () => undefined,
    isEntryCurrent: (stored) => Buffer.from(stored).toString() === 'a',
    onEntryRead: ({ key }) => recorded.entryKeys.push(key),
    onEraObserved: (era, isRestored) =>
      recorded.eras.push(`${era}${isRestored ? ' restored' : ''}`),
    nodeName: 'a',
    random: () => 0,
    wallClock: Date.now,
    watchTurn: () => ({ count: 1, index: 0 }),
    propagationMilliseconds: 2_000,
    isProofDue: () => store.isProofDue,
    // The time of a call is the number of calls before it.
    proofClock: () => store.calls.length,
    onConfigurationConfirmed: (sentAt) => {
      recorded.confirmations.push(store.revision);
      if (sentAt !== undefined) recorded.proofs.push(store.calls[sentAt] ?? '');
    },
    onReachabilityChange: (isReachable) => recorded.reachability.push(isReachable),
    transport: store,
  });
  session.start();
  session.setConfigurationWatching(isWatching);
  try {
    await runTest(store, recorded, session);
  } finally {
    session.close();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const limit = Date.now() + 8_000;
  while (!condition()) {
    if (Date.now() > limit) throw new Error('condition not met within 8 s');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

test('a first start reads the directory, writes the entry, and reads again to find nodes that start concurrently', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => recorded.directoryReads === 2 && recorded.configurations.length === 1);
    assert.equal([...new Set(recorded.entryKeys)].sort(), ['nodes/a', 'nodes/b']);
    assert.is(store.countCalls('write'), 1);
    assert.ok(store.calls.indexOf('list-nodes-old') < store.calls.indexOf('write'));
  }, false);
});

// In the large deployment, 5 of the 5.4 calls that a node paid for were made at its start. Stale reads cost a tenth.
test('a first start makes one call at full price, a restart none', async () => {
  const fullPriceCalls = ({ calls }: FakeStore): readonly string[] =>
    calls.filter((name) => !name.endsWith('-old'));
  const store = new FakeStore();
  const start = async (reads: number, milliseconds: number): Promise<void> => {
    await withSession(
      async (_store, recorded) => {
        await waitUntil(
          () => recorded.directoryReads === reads && recorded.configurations.length === 1,
        );
        await new Promise((resolve) => setTimeout(resolve, milliseconds));
      },
      false,
      store,
    );
  };
  await start(3, 0);
  assert.equal(fullPriceCalls(store), ['write']);
  assert.is(store.calls.length, 5);
  store.calls.length = 0;
  await start(1, 2_000);
  assert.equal(store.calls, ['list-nodes-old', 'list-configuration-old']);
});

test('records are read together with the directory, and are not taken for entries', async () => {
  const store = new FakeStore();
  store.records = [{ key: 'records/a', revision: 3, value: bytes('a quarantine') }];
  await withSession(
    async (_store, { entryKeys, records }) => {
      await waitUntil(() => records.length > 0);
      assert.equal(records, ['a quarantine']);
      assert.not(entryKeys.includes('records/a'));
    },
    false,
    store,
  );
});

test('an entry with another address is overwritten', async () => {
  const store = new FakeStore();
  store.entry = 'a at another address';
  await withSession(
    async () => {
      await waitUntil(() => store.entry === 'a');
    },
    false,
    store,
  );
});

test('a node that leaves removes its entry', async () => {
  await withSession(async (store, _seen, session) => {
    await waitUntil(() => store.entry === 'a');
    await session.leave();
    assert.is(store.entry, undefined);
  }, false);
});

test('an entry is removed only if it is the expected one', async () => {
  await withSession(async (store, _seen, session) => {
    await waitUntil(() => store.entry === 'a');
    await session.removeEntry('a', () => false);
    assert.is(store.countCalls('remove'), 0);
    await session.removeEntry('a', () => true);
    assert.is(store.countCalls('remove'), 1);
  }, false);
});

test('in steady state one watch is pending and nothing is polled', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => recorded.directoryReads === 1 && store.countCalls('watch') === 1);
    await new Promise((resolve) => setTimeout(resolve, 500));
    assert.equal([...store.calls].sort(), [
      'list-configuration-old',
      'list-nodes-old',
      'watch',
      'write',
    ]);
  });
});

test('a watching node receives a change of the configuration', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => store.countCalls('watch') === 1);
    store.changeConfiguration('second');
    await waitUntil(() => recorded.configurations.includes('second'));
    await waitUntil(() => store.countCalls('watch') === 2);
  });
});

// If every node watched the configuration, each change would cost one call per node.
test('a node that does not watch reads the configuration once', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => recorded.directoryReads === 1 && recorded.configurations.length === 1);
    store.changeConfiguration('second');
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.is(store.countCalls('list-configuration-old'), 1);
    assert.is(store.countCalls('watch'), 0);
  }, false);
});

test('a node that starts watching reads missed changes, and stops watching on request', async () => {
  await withSession(async (store, recorded, session) => {
    await waitUntil(() => recorded.configurations.length === 1);
    store.changeConfiguration('second');
    session.setConfigurationWatching(true);
    await waitUntil(
      () => recorded.configurations.includes('second') && store.countCalls('watch') === 1,
    );
    session.setConfigurationWatching(false);
    store.changeConfiguration('third');
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.is(store.countCalls('watch'), 1);
    assert.not(recorded.configurations.includes('third'));
    session.setConfigurationWatching(true);
    await waitUntil(
      () => recorded.configurations.includes('third') && store.countCalls('watch') === 2,
    );
  }, false);
});

test('a watching node writes its entry again within three checks of the store after it was removed', async () => {
  await withSession(async (store) => {
    await waitUntil(() => store.entry === 'a');
    store.entry = undefined;
    await waitUntil(() => store.countCalls('write') === 2);
  });
});

test('the configuration is read again after an outage, since a watch may have missed changes', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => store.countCalls('watch') === 1);
    store.outageResponse = { detail: 'status 503', kind: 'unavailable' };
    await waitUntil(() => recorded.reachability.includes(false));
    store.configuration = 'changed meanwhile';
    store.outageResponse = undefined;
    await waitUntil(() => recorded.configurations.includes('changed meanwhile'));
    assert.equal(recorded.reachability, [false, true]);
  });
});

// Rejected calls are billed as well, so an unreachable store must not be probed with up-to-date reads.
test('an outage is probed with stale reads; one up-to-date read precedes the next watch', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => store.countCalls('watch') === 1);
    store.outageResponse = { detail: 'status 503', kind: 'unavailable' };
    store.changeConfiguration('second');
    await waitUntil(() => recorded.reachability.includes(false));
    await waitUntil(() => store.countCalls('list-configuration-old') >= 4);
    assert.is(store.countCalls('list-configuration'), 0);
    store.outageResponse = undefined;
    const watchesDuringOutage = store.countCalls('watch');
    await waitUntil(() => store.countCalls('watch') > watchesDuringOutage);
    assert.is(store.countCalls('list-configuration'), 1);
    assert.ok(store.calls.lastIndexOf('watch') > store.calls.lastIndexOf('list-configuration'));
  });
});

test('a node that does not watch makes only stale reads, even after an outage at its start', async () => {
  const store = new FakeStore();
  store.outageResponse = { detail: 'connection refused', kind: 'unavailable' };
  await withSession(
    async (_store, recorded) => {
      await waitUntil(() => store.countCalls('list-configuration-old') >= 3);
      store.outageResponse = undefined;
      await waitUntil(() => recorded.configurations.length === 1);
      assert.is(store.countCalls('list-configuration'), 0);
    },
    false,
    store,
  );
});

test('a read after a compaction is up to date, since the revision of a stale read may be compacted too', async () => {
  const store = new FakeStore();
  store.compactedWatches = 1;
  await withSession(
    async () => {
      await waitUntil(() => store.countCalls('watch') === 2);
      assert.is(store.countCalls('list-configuration'), 1);
    },
    true,
    store,
  );
});

test('a node that starts while the store is unreachable registers after the outage', async () => {
  const store = new FakeStore();
  store.outageResponse = { detail: 'connection refused', kind: 'unavailable' };
  await withSession(
    async (_store, recorded) => {
      await waitUntil(() => store.countCalls('list-nodes-old') >= 3);
      assert.is(recorded.directoryReads, 0);
      store.outageResponse = undefined;
      await waitUntil(() => recorded.directoryReads === 1 && store.entry === 'a');
    },
    true,
    store,
  );
});

test('a watching node confirms within half of the bound that nothing newer exists, and not while the store is away', async () => {
  await withSession(async (store, recorded) => {
    await waitUntil(() => recorded.confirmations.length >= 2);
    store.outageResponse = { detail: 'status 503', kind: 'unavailable' };
    await waitUntil(() => recorded.reachability.includes(false));
    const confirmations = recorded.confirmations.length;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    assert.is(recorded.confirmations.length, confirmations);
  });
});

test('a node that does not watch reads up to date once when asked to, and confirms what it read', async () => {
  await withSession(async (store, recorded, session) => {
    await waitUntil(() => recorded.configurations.length === 1);
    store.changeConfiguration('second');
    await session.refreshConfiguration();
    await waitUntil(() => recorded.confirmations.length === 1);
    assert.equal(recorded.configurations, ['first', 'second']);
    assert.is(store.countCalls('list-configuration'), 1);
    assert.is(store.countCalls('watch'), 0);
  }, false);
});

test('a node that is asked to read while the store is away makes no call at full price', async () => {
  await withSession(async (store, recorded, session) => {
    await waitUntil(() => store.entry === 'a' && recorded.configurations.length === 1);
    store.outageResponse = { detail: 'status 503', kind: 'unavailable' };
    await session.refreshConfiguration();
    assert.is(store.countCalls('list-configuration'), 0);
  }, false);
});

// All nodes that watch read a change at the same time, and one proof is enough for all.
test('a watch that is answered at once proves what the store holds, if a proof is due, but not after a change', async () => {
  const store = new FakeStore();
  store.isProofDue = true;
  await withSession(
    async (_store, { proofs }) => {
      await waitUntil(() => store.countCalls('watch') === 1);
      store.changeConfiguration('second');
      await waitUntil(() => store.countCalls('watch') === 2);
      assert.equal(proofs, ['watch-at-once', 'watch']);
    },
    true,
    store,
  );
});

test('a check with a read that may be old, while a watch is pending, proves nothing', async () => {
  await withSession(async (store, { confirmations, proofs }) => {
    await waitUntil(() => confirmations.length > 0);
    assert.equal(proofs, []);
    assert.is(store.countCalls('watch-at-once'), 0);
  });
});

for (const isWatching of [true, false]) {
  test(`a node that ${isWatching ? 'watches' : 'does not watch'} proves what the store holds on request`, async () => {
    await withSession(async (store, { configurations, proofs }, session) => {
      await waitUntil(() => configurations.length > 0);
      await waitUntil(() => !isWatching || store.countCalls('watch') === 1);
      session.proveConfiguration();
      await waitUntil(() => proofs.length > 0);
      assert.match(proofs[0] ?? '', /^list-configuration/);
      assert.is(store.countCalls('list-configuration'), 1);
    }, isWatching);
  });
}

test.run();
