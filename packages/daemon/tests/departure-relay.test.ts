import type { MeshFrame } from '@peridotspring/mesh-core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DepartureRelay } from '../src/mesh/departure-relay.js';

const value = Buffer.from('record');
const request = { name: 'i-1/any', value };

/** A relay whose timers the test runs, and the frames that it sends. */
class RelayFixture {
  public readonly frames: (readonly [peer: string, frame: MeshFrame])[] = [];
  public readonly delays: number[] = [];
  public readonly written: string[] = [];
  public isWritable = true;
  public reachesStore = false;
  public readonly relay: DepartureRelay;
  private timer: (() => void) | undefined;

  public constructor(peers: readonly string[]) {
    this.relay = new DepartureRelay({
      configurationVersion: () => 3,
      connections: () => ({ send: (peer, frame) => this.frames.push([peer, frame]) > 0 }),
      peersReachingStore: () => peers,
      reachesStore: () => this.reachesStore,
      schedule: (action, milliseconds) => {
        this.delays.push(milliseconds);
        this.timer = action;
        return () => (this.timer = undefined);
      },
      writeDeparture: (name) => {
        this.written.push(name);
        return Promise.resolve(this.isWritable);
      },
    });
  }

  public runTimer(): void {
    const { timer } = this;
    this.timer = undefined;
    timer?.();
  }
}

test('peers that reach the store are asked one after another until one has recorded the departure', () => {
  const fixture = new RelayFixture(['b', 'c']);
  let recorded = 0;
  fixture.relay.request(request, () => (recorded += 1));
  for (let run = 0; run < 3; run += 1) fixture.runTimer();
  const frame: MeshFrame = { kind: 'version', recordRequest: request, version: 3 };
  assert.equal(fixture.frames, [
    ['b', frame],
    ['c', frame],
  ]);
  fixture.relay.onRecorded('i-2/any');
  assert.is(recorded, 0);
  fixture.relay.onRecorded('i-1/any');
  fixture.relay.onRecorded('i-1/any');
  assert.is(recorded, 1);
});

test('no peer is asked while the store answers this node in the usual time', () => {
  const fixture = new RelayFixture(['b']);
  fixture.reachesStore = true;
  const end = fixture.relay.request(request, () => undefined);
  assert.equal(fixture.delays, [400]);
  end();
  fixture.runTimer();
  assert.equal(fixture.frames, []);
});

test('a node records the departure for a peer, and says so only if the store has acknowledged it', async () => {
  const fixture = new RelayFixture([]);
  fixture.isWritable = false;
  await fixture.relay.onRequested('b', request);
  assert.equal(fixture.frames, []);
  fixture.isWritable = true;
  await fixture.relay.onRequested('b', request);
  assert.equal(fixture.frames, [['b', { kind: 'version', recordedName: 'i-1/any', version: 3 }]]);
});

test('what is no record of a departure is not written', async () => {
  const fixture = new RelayFixture([]);
  const names = ['', 'any', '../i-1/any', 'i-1/other', '/any', `${'i'.repeat(129)}/any`, 7];
  const requests = names.map((name) => ({ name, value }));
  const values = ['text', new Uint8Array(4_097), undefined].map((other) => ({
    name: request.name,
    value: other,
  }));
  for (const other of [undefined, null, 'text', ...requests, ...values])
    await fixture.relay.onRequested('b', other);
  assert.equal(fixture.written, []);
});

test.run();
