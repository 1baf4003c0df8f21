import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ConfirmedRecords } from '../src/key-values/confirmed-records.js';
import type { ItemPage, StoreCallCodec, StoreOutcome } from '../src/key-values/index.js';

const unavailable = { detail: 'status 503', kind: 'unavailable' } as const;
const value = Buffer.from('record');
const items = [{ key: 'departures/i-1/any', revision: 7, value }];
const page: ItemPage = { hasMore: false, items, removedKeys: [], revision: 9 };

/** How the store answers one call. */
interface Answer {
  readonly isOk: boolean;
  readonly milliseconds: number;
}

/** Records in a store whose answers the test determines, in virtual time. */
class RecordsFixture {
  public now = 0;
  public readonly calls: string[] = [];
  public readonly records: ConfirmedRecords;
  private readonly timers: { readonly at: number; readonly action: () => void }[] = [];

  public constructor(
    private readonly answer: (call: number) => Answer,
    backOffMilliseconds = 100,
  ) {
    const createCall = (name: string): { readonly name: string } => ({ name });
    this.records = new ConfirmedRecords({
      clock: () => this.now,
      codec: {
        remove: (key: string, revision: number) => createCall(`remove ${key} ${revision}`),
        write: (key: string) => createCall(`write ${key}`),
      } as unknown as StoreCallCodec,
      delays: {
        backOff: () => this.sleep(backOffMilliseconds),
        sleep: (milliseconds) => this.sleep(milliseconds),
      },
      prefix: 'departures/',
      storeClient: {
        call: ({ name }) => this.call(name, undefined) as Promise<StoreOutcome<never>>,
        list: (prefix, isStaleAllowed) =>
          this.call(`list ${prefix}${isStaleAllowed ? ' stale' : ''}`, page),
      },
    });
  }

  /** The result, and the time that it took. */
  public async run<Value>(work: Promise<Value>): Promise<readonly [Value, number]> {
    const state: { result?: readonly [Value, number] } = {};
    void work.then((result) => (state.result = [result, this.now]));
    for (;;) {
      // Lets everything run that a timer has started.
      await new Promise((resolve) => setImmediate(resolve));
      if (state.result !== undefined) return state.result;
      this.timers.sort((first, second) => second.at - first.at);
      const next = this.timers.pop();
      if (next === undefined) throw new Error('nothing is left that would end the work');
      this.now = next.at;
      next.action();
    }
  }

  private async sleep(milliseconds: number): Promise<void> {
    return new Promise((action) => {
      this.timers.push({ action, at: this.now + milliseconds });
    });
  }

  private async call<Value>(name: string, result: Value): Promise<StoreOutcome<Value>> {
    this.calls.push(name);
    const { isOk, milliseconds } = this.answer(this.calls.length);
    await this.sleep(milliseconds);
    return isOk ? { kind: 'ok', value: result } : unavailable;
  }
}

const quickFailure: Answer = { isOk: false, milliseconds: 100 };
const quickSuccess: Answer = { isOk: true, milliseconds: 100 };

test('a write is repeated until the store acknowledges it, as long as the server waits', async () => {
  const brief = new RecordsFixture((call) => (call <= 2 ? quickFailure : quickSuccess));
  assert.equal(await brief.run(brief.records.write('i-1/any', value)), [true, 500]);
  assert.equal(
    brief.calls,
    Array.from({ length: 3 }, () => 'write departures/i-1/any'),
  );
});

// Regression: the back-off ran past the time, so the server had given up before it heard that its departure was not recorded.
test('a write that is not acknowledged ends in time, however long the back-off is', async () => {
  for (const [backOffMilliseconds, calls] of [
    [100, 5],
    [400, 2],
  ] as const) {
    const fixture = new RecordsFixture(() => quickFailure, backOffMilliseconds);
    assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [false, 850]);
    assert.is(fixture.calls.length, calls);
  }
});

// Regression: each call was ended after 500 ms, so a store that took longer never acknowledged a departure.
test('a store that answers within the time of the server is heard, however slow each call is', async () => {
  for (const milliseconds of [0, 300, 500, 600, 800]) {
    const fixture = new RecordsFixture(() => ({ isOk: true, milliseconds }));
    const written = await fixture.run(fixture.records.write('i-1/any', value));
    assert.equal(written, [true, milliseconds]);
    assert.ok(fixture.calls.length <= 2);
    const read = new RecordsFixture(() => ({ isOk: true, milliseconds }));
    assert.equal(await read.run(read.records.read('i-1')), [[value], milliseconds]);
  }
});

// Regression: an acknowledgement that came after the time of the server was dropped, so a repeated message was in vain too.
test('a write goes on after the time of the server, and a repeated message is confirmed by it', async () => {
  const fixture = new RecordsFixture(() => ({ isOk: true, milliseconds: 1_400 }));
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [false, 850]);
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [true, 1_400]);
});

// Regression: a repeated message waited for the back-off of the earlier write, and was not confirmed although the store answered again.
test('a repeated message is written at once, whatever the earlier write waits for', async () => {
  let isOk = false;
  const fixture = new RecordsFixture(() => ({ isOk, milliseconds: 100 }), 1_400);
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [false, 850]);
  isOk = true;
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [true, 950]);
  const { length } = fixture.calls;
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [true, 950]);
  assert.is(fixture.calls.length, length);
});

test('a call whose response is lost is repeated beside it, in time for the server', async () => {
  const lost: Answer = { isOk: false, milliseconds: 4_000 };
  const fixture = new RecordsFixture((call) => (call === 1 ? lost : quickSuccess));
  assert.equal(await fixture.run(fixture.records.write('i-1/any', value)), [true, 400]);
});

test('a write ends at last if the store never acknowledges it', async () => {
  const fixture = new RecordsFixture(() => quickFailure);
  await fixture.run(fixture.records.write('i-1/any', value));
  const ended = fixture.run(new Promise<never>(() => undefined));
  await ended.catch(() => undefined);
  assert.ok(fixture.now >= 10_000 && fixture.now < 11_000, `${fixture.now}`);
});

test('a read is up to date, and repeated until the store answers', async () => {
  const fixture = new RecordsFixture((call) => (call <= 20 ? quickFailure : quickSuccess));
  const [values] = await fixture.run(fixture.records.read('i-1'));
  assert.equal(values, [value]);
  assert.equal(new Set(fixture.calls), new Set(['list departures/i-1/']));
});

test('records are written again after a restore of the store', async () => {
  const fixture = new RecordsFixture(() => quickSuccess);
  await fixture.run(fixture.records.write('i-1/any', value));
  fixture.records.handleStoreRestored();
  assert.equal(fixture.calls, ['write departures/i-1/any', 'write departures/i-1/any']);
});

test('only expired records are removed, unless they changed', async () => {
  const fixture = new RecordsFixture(() => quickSuccess);
  await fixture.run(fixture.records.removeExpired(() => false));
  await fixture.run(fixture.records.removeExpired((stored) => stored === value));
  assert.equal(fixture.calls, [
    'list departures/ stale',
    'list departures/ stale',
    'remove departures/i-1/any 7',
  ]);
});

test.run();
