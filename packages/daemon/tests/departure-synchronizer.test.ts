import { createServerReport } from '@peridotspring/mesh-core/fixtures';
import type { DepartureRead } from '@peridotspring/platform/key-values';
import type { MessageVerdict, ServerMessage } from '@peridotspring/upstreams/mesh';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DepartureSynchronizer } from '../src/mesh/departure-synchronizer.js';

const confirmed: MessageVerdict = { isBinding: true, requiresFreshReport: false };
const none: DepartureRead = { isComplete: true, values: [] };

/** A synchronizer with a store that answers when the test says so, and recorded output. */
class SynchronizerFixture {
  public readonly events: string[] = [];
  public readonly stored = new Map<string, Uint8Array>();
  public isAnswering = true;
  public isWritable = true;
  public now = 0;
  public onRelayed: () => void = () => undefined;
  public readonly synchronizer: DepartureSynchronizer;
  private readonly reads: ((read: DepartureRead | undefined) => void)[] = [];

  public constructor() {
    this.synchronizer = new DepartureSynchronizer({
      clock: () => this.now,
      gate: {
        incarnationOf: (instanceId) => ({ instanceId, startedAt: undefined }),
        mayBeOwnServer: (instanceId) => instanceId !== 'i-other',
        onHealthCheckPassed: (instance) => this.events.push(`passed ${instance}`),
        onServerEndReported: ({ instanceId }) => this.events.push(`ended ${instanceId}`),
        onServerReport: ({ instanceId }) => this.events.push(`report ${instanceId}`),
      },
      log: (event, { by, instance, proof, reason }) =>
        this.events.push([event, instance, by, proof, reason].filter(Boolean).join(' ')),
      nodeName: 'a',
      relay: {
        request: (_request, onRecorded) => {
          this.onRelayed = onRecorded;
          return () => undefined;
        },
      },
      schedule: () => () => undefined,
      store: () => ({
        coverDepartures: () => this.events.push('covered'),
        readDepartures: (group) =>
          new Promise((resolve) => {
            this.events.push(`read ${group}`);
            this.reads.push(resolve);
          }),
        writeDeparture: (name, value) => {
          this.events.push(`write ${name}`);
          if (!this.isAnswering) return new Promise(() => undefined);
          if (this.isWritable) this.stored.set(name, value);
          return Promise.resolve(this.isWritable);
        },
      }),
      wallClock: () => 0,
    });
  }

  public async answerReads(read: DepartureRead): Promise<void> {
    for (const resolve of this.reads.splice(0)) resolve(read);
    await new Promise((resolve) => setImmediate(resolve));
  }

  public takeEvents(): readonly string[] {
    return this.events.splice(0);
  }
}

const report = createServerReport({ instanceId: 'i-1' });

test('a report reaches the gate once the store holds no departure, and the next one at once', async () => {
  const fixture = new SynchronizerFixture();
  fixture.synchronizer.onReport(report, 0);
  fixture.synchronizer.onReport(report, 1);
  assert.equal(fixture.takeEvents(), ['read i-1']);
  assert.ok(fixture.synchronizer.isWaiting);
  await fixture.answerReads(none);
  fixture.synchronizer.onReport(report, 2);
  const verified = 'server-verified i-1 no-record';
  assert.equal(fixture.takeEvents(), [verified, 'report i-1', 'report i-1']);
  assert.not(fixture.synchronizer.isWaiting);
});

// Regression (DRAIN): a report or a health check made the next process use a server again that had left.
test('a server whose departure an earlier process recorded is not used, whatever names it', async () => {
  const earlier = new SynchronizerFixture();
  const draining: ServerMessage = { kind: 'report', report: { ...report, draining: true } };
  assert.equal(await earlier.synchronizer.judge(draining), confirmed);
  const later = new SynchronizerFixture();
  later.synchronizer.onHealthCheckPassed('i-1', 4, 0);
  later.synchronizer.onReport(report, 0);
  await later.answerReads({ isComplete: true, values: [...earlier.stored.values()] });
  later.synchronizer.onHealthCheckPassed('i-1', 4, 5);
  const rejected = ['server-not-used i-1 left-before-start', 'ended i-1'];
  assert.equal(later.takeEvents(), ['read i-1', ...rejected, ...rejected]);
  later.synchronizer.onReport({ ...report, startedAt: 2_000 }, 6);
  assert.equal(later.takeEvents(), ['report i-1']);
});

test('a departure is recorded once, and confirmed only if the store has acknowledged it', async () => {
  const fixture = new SynchronizerFixture();
  fixture.isWritable = false;
  const leave: ServerMessage = { instanceId: 'i/1', kind: 'leave' };
  assert.equal(await fixture.synchronizer.judge(leave), { ...confirmed, isBinding: false });
  assert.equal(fixture.takeEvents(), [
    'write i%2F1/any',
    'server-departure-unconfirmed i/1 not-recorded',
  ]);
  fixture.isWritable = true;
  for (let count = 0; count < 2; count += 1)
    assert.equal(await fixture.synchronizer.judge(leave), confirmed);
  const confirmation = 'server-departure-confirmed i/1 store';
  assert.equal(fixture.takeEvents(), ['write i%2F1/any', confirmation, confirmation]);
});

test("a departure of another node's server is neither recorded nor confirmed", async () => {
  const fixture = new SynchronizerFixture();
  const leave: ServerMessage = { instanceId: 'i-other', kind: 'leave' };
  assert.equal(await fixture.synchronizer.judge(leave), { ...confirmed, isBinding: false });
  assert.equal(fixture.takeEvents(), ['server-departure-unconfirmed i-other other-server']);
});

// Regression: a node that the store refused did not confirm a departure, although its peers reached the store.
test('a departure that a peer has recorded is confirmed', async () => {
  const fixture = new SynchronizerFixture();
  fixture.isAnswering = false;
  const verdict = fixture.synchronizer.judge({ instanceId: 'i-1', kind: 'leave' });
  fixture.onRelayed();
  assert.equal(await verdict, confirmed);
  assert.equal(fixture.takeEvents(), ['write i-1/any', 'server-departure-confirmed i-1 peer']);
});

test('an early report, a passed health check or a second late report prove nothing while the store does not answer', () => {
  const fixture = new SynchronizerFixture();
  fixture.synchronizer.onReport(createServerReport({ instanceId: 'i-1', sequence: 1 }), 0);
  fixture.synchronizer.onHealthCheckPassed('i-1', 4, 500);
  fixture.now = 1_500;
  fixture.synchronizer.onReport(createServerReport({ instanceId: 'i-1', sequence: 2 }), 1_500);
  assert.equal(fixture.takeEvents(), ['read i-1', 'server-not-used i-1 unverified']);
});

test('a store that may have lost records leaves a server unused until it proves that it is running', async () => {
  const fixture = new SynchronizerFixture();
  const message: ServerMessage = { kind: 'report', report };
  fixture.synchronizer.onMessage(message, false);
  fixture.synchronizer.onReport(report, 0);
  const verdict = fixture.synchronizer.judge(message);
  await fixture.answerReads({ ...none, isComplete: false });
  assert.equal(await verdict, { ...confirmed, requiresFreshReport: true });
  assert.equal(fixture.takeEvents(), ['read i-1']);
  fixture.synchronizer.onMessage(message, true);
  fixture.synchronizer.onReport(report, 5);
  assert.equal(await fixture.synchronizer.judge(message), confirmed);
  const verified = 'server-verified i-1 fresh-report';
  assert.equal(fixture.takeEvents(), [verified, 'covered', 'report i-1']);
});

test.run();
