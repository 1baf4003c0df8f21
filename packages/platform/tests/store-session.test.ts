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

type Answer = StoreOutcome<unknown> | 'silent';

/** A store whose answers the test sets by the name of the call. */
class FakeStore implements StoreTransport {
  public readonly calls: string[] = [];
  public revision = 1;
  public configuration = 'first';
  public isLeaseLost = false;
  public down: Answer | undefined;
  private readonly watchers = new Set<() => void>();

  public async execute<Value>(
    { name }: StoreCall<Value>,
    signal?: AbortSignal,
  ): Promise<StoreOutcome<Value>> {
    this.calls.push(name);
    const answer = this.down ?? (await this.answer(name, signal));
    if (answer !== 'silent') return answer as StoreOutcome<Value>;
    return new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        resolve({ detail: 'given up', kind: 'unavailable' });
      });
    });
  }

  public change(configuration: string): void {
    this.configuration = configuration;
    this.revision += 1;
    for (const wake of this.watchers) wake();
  }

  public count(name: string): number {
    return this.calls.filter((call) => call === name).length;
  }

  private async answer(name: string, signal?: AbortSignal): Promise<Answer> {
    switch (name) {
      case 'grant-lease':
        this.isLeaseLost = false;
        return { kind: 'ok', value: 7 };
      case 'renew-lease':
        return this.isLeaseLost ? { kind: 'missing' } : { kind: 'ok', value: undefined };
      case 'list-nodes':
        return { kind: 'ok', value: this.page([{ key: 'nodes/b', value: bytes('b') }]) };
      case 'list-configuration':
        return { kind: 'ok', value: this.page([this.item()]) };
      case 'watch':
        await new Promise<void>((resolve) => {
          this.watchers.add(resolve);
          signal?.addEventListener('abort', () => {
            resolve();
          });
        });
        if (signal?.aborted === true) return { detail: 'aborted', kind: 'unavailable' };
        return { kind: 'ok', value: this.page([this.item()]) };
      default:
        return { kind: 'ok', value: undefined };
    }
  }

  private item(): StoredItem {
    return { key: 'config', value: bytes(this.configuration) };
  }

  private page(items: readonly StoredItem[]): ItemPage {
    return { hasMore: false, items, revision: this.revision };
  }
}

const bytes = (text: string): Uint8Array => Buffer.from(text);

const call = <Value>(name: string): StoreCall<Value> => ({
  method: 'GET',
  name,
  parse: () => ({ kind: 'missing' }),
  path: '/',
});

const codec: StoreCallCodec = {
  configurationKey: 'config',
  endLease: () => call('end-lease'),
  grantLease: () => call('grant-lease'),
  list: (prefix) => call(prefix === 'config' ? 'list-configuration' : 'list-nodes'),
  renewLease: () => call('renew-lease'),
  watch: () => call('watch'),
  write: () => call('write'),
};

interface Seen {
  readonly configurations: string[];
  readonly nodes: string[];
  readonly reachability: boolean[];
  reads: number;
}

async function withSession(
  run: (store: FakeStore, seen: Seen, session: StoreSession) => Promise<void>,
  isWatching = true,
): Promise<void> {
  const store = new FakeStore();
  const seen: Seen = { configurations: [], nodes: [], reachability: [], reads: 0 };
  const session = new StoreSession({
    codec,
    configurationRead: (content) => seen.configurations.push(Buffer.from(content).toString()),
    directoryPrefix: 'nodes/',
    directoryRead: () => (seen.reads += 1),
    entry: bytes('a'),
    entryRead: ({ key }) => seen.nodes.push(key),
    nodeName: 'a',
    random: () => 0,
    reachabilityChanged: (isReachable) => seen.reachability.push(isReachable),
    transport: store,
  });
  session.start();
  session.watchConfiguration(isWatching);
  try {
    await run(store, seen, session);
  } finally {
    session.close();
  }
}

async function until(condition: () => boolean): Promise<void> {
  const limit = Date.now() + 8_000;
  while (!condition()) {
    if (Date.now() > limit) throw new Error('the condition did not come true in 8 s');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

test('a node writes its entry before it reads the others, so that of two one sees the other', async () => {
  await withSession(async (store, seen) => {
    await until(() => seen.reads === 1 && seen.configurations.length === 1);
    assert.equal(seen.nodes, ['nodes/b']);
    assert.ok(store.calls.indexOf('write') < store.calls.indexOf('list-nodes'));
  });
});

test('in a steady state there is one watch that waits, and no polling', async () => {
  await withSession(async (store, seen) => {
    await until(() => seen.reads === 1 && store.count('watch') === 1);
    await new Promise((resolve) => setTimeout(resolve, 500));
    assert.is(store.calls.length, 5);
  });
});

test('a change reaches the node through its watch', async () => {
  await withSession(async (store, seen) => {
    await until(() => store.count('watch') === 1);
    store.change('second');
    await until(() => seen.configurations.includes('second'));
    await until(() => store.count('watch') === 2);
  });
});

// A watch of each node cost a call for each node and change of the configuration.
test('a node that others tell of changes reads the configuration once and does not watch', async () => {
  await withSession(async (store, seen) => {
    await until(() => seen.reads === 1 && seen.configurations.length === 1);
    store.change('second');
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.is(store.count('list-configuration'), 1);
    assert.is(store.count('watch'), 0);
  }, false);
});

test('a node that takes over the watch reads what it missed, and leaves off when it is told so', async () => {
  await withSession(async (store, seen, session) => {
    await until(() => seen.configurations.length === 1);
    store.change('second');
    session.watchConfiguration(true);
    await until(() => seen.configurations.includes('second') && store.count('watch') === 1);
    session.watchConfiguration(false);
    store.change('third');
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.is(store.count('watch'), 1);
    assert.not(seen.configurations.includes('third'));
    session.watchConfiguration(true);
    await until(() => seen.configurations.includes('third') && store.count('watch') === 2);
  }, false);
});

test('an entry whose lease was lost is written again within about two renewals', async () => {
  await withSession(async (store, seen) => {
    await until(() => seen.reads === 1);
    store.isLeaseLost = true;
    await until(() => store.count('write') === 2);
    assert.is(seen.reads, 2);
  });
});

test('after an outage the configuration is read anew: a watch may have missed changes', async () => {
  await withSession(async (store, seen) => {
    await until(() => store.count('watch') === 1);
    store.down = { detail: 'status 503', kind: 'unavailable' };
    await until(() => seen.reachability.includes(false));
    store.configuration = 'changed meanwhile';
    store.down = undefined;
    await until(() => seen.configurations.includes('changed meanwhile'));
    assert.equal(seen.reachability, [false, true]);
  });
});

test('a node that starts while the store is away registers when it is back', async () => {
  const store = new FakeStore();
  store.down = { detail: 'connection refused', kind: 'unavailable' };
  await withSession(async (own, seen) => {
    own.down = store.down;
    await until(() => own.count('grant-lease') >= 3);
    assert.is(seen.reads, 0);
    own.down = undefined;
    await until(() => seen.reads === 1);
  });
});

test.run();
