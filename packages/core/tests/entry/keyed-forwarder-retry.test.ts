import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { KeyedForwarder } from '../../src/entry/keyed-forwarder.js';
import type { ForwarderCommand } from '../../src/entry/keyed-forwarder.js';

const service = 'issuance';

class ForwarderHarness {
  public table: HomeTable | undefined;
  public now = 0;
  public readonly forwarder = new KeyedForwarder({
    nextCallId: () => -1,
    rangeOf: () => 0,
    table: () => this.table,
  });

  public setTable(version: number, home: string): void {
    const ranges = [{ incarnation: 1, server: home, since: version }];
    this.table = { quorums: [], ranges, service, version };
  }

  public begin(): string {
    const tenant = '';
    const head = {
      depth: 0,
      headers: {},
      method: 'POST',
      path: '/',
      requestId: 'r',
      service,
      tenant,
    };
    const request = { body: new Uint8Array(), deadline: 5_000, digest: 'd', head, key: 'k' };
    return describe(
      this.forwarder.begin({ ...request, receivedAt: 0, requestNumber: 1 }, this.clock()),
    );
  }

  public notSent(): string {
    return describe(this.forwarder.onNotSent(-1, this.clock()));
  }

  public notHome(from: string): string {
    const outcome = { kind: 'not-home', table: undefined } as const;
    return describe(this.forwarder.onOutcome(from, -1, outcome, this.clock()));
  }

  /** Advances the time and runs a tick followed by a table update, as the node does. */
  public advance(milliseconds: number): string {
    this.now += milliseconds;
    const ended = this.forwarder.tick(this.clock());
    return describe([...ended, ...this.forwarder.onTableChanged(service, this.clock())]);
  }

  private clock(): { monotonic: number; wall: number } {
    return { monotonic: this.now, wall: this.now };
  }
}

function describe(commands: readonly ForwarderCommand[]): string {
  return commands
    .map((command) => {
      if (command.kind === 'forward') return `to ${command.to}`;
      if (command.kind === 'need-table') return 'need-table';
      return command.outcome.kind === 'answered' ? 'answered' : command.outcome.reason;
    })
    .join(' ');
}

// Guards against outcome-unknown answers during a planned stop of a home: entries still use the table
// that names the stopped home and learn of the new home only by a newer table.
test('a request that could not be sent to its home waits for a newer table and follows it', () => {
  const harness = new ForwarderHarness();
  harness.setTable(1, 'a');
  assert.is(harness.begin(), 'to a');
  assert.is(harness.notSent(), 'need-table');
  assert.is(harness.advance(10), 'need-table');
  harness.setTable(2, 'b');
  assert.is(harness.advance(10), 'to b');
});

// Guards against sending to the same node four times within 40 ms and then giving up the request.
test('a node that answers not-home is tried again only after a delay or with a newer table', () => {
  const harness = new ForwarderHarness();
  harness.setTable(1, 'a');
  harness.begin();
  assert.is(harness.notHome('a'), 'need-table');
  assert.is(harness.advance(190), 'need-table');
  assert.is(harness.advance(10), 'to a');
  harness.notHome('a');
  harness.setTable(2, 'a');
  assert.is(harness.advance(10), 'to a');
});

test('a request whose home stays unreachable ends with the reason home-unreachable', () => {
  const harness = new ForwarderHarness();
  harness.setTable(1, 'a');
  harness.begin();
  for (let tries = 0; tries < 4; tries += 1) {
    assert.is(harness.notSent(), 'need-table');
    assert.is(harness.advance(200), 'to a');
  }
  assert.is(harness.notSent(), 'home-unreachable');
});

test.run();
