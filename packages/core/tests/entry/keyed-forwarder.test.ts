import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { KeyedForwarder } from '../../src/entry/keyed-forwarder.js';
import type { ForwarderCommand } from '../../src/entry/keyed-forwarder.js';

const service = 'issuance';

class Entry {
  public table: HomeTable | undefined;
  public now = 0;
  public readonly forwarder = new KeyedForwarder({
    nextCallId: () => -1,
    rangeOf: () => 0,
    table: () => this.table,
  });

  public showTable(version: number, home: string): void {
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
    return describe(this.forwarder.notSent(-1, this.clock()));
  }

  public notHome(from: string): string {
    const outcome = { kind: 'not-home', table: undefined } as const;
    return describe(this.forwarder.outcome(from, -1, outcome, this.clock()));
  }

  /** A tick, as the board does it. */
  public pass(milliseconds: number): string {
    this.now += milliseconds;
    const ended = this.forwarder.tick(this.clock());
    return describe([...ended, ...this.forwarder.tableChanged(service, this.clock())]);
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

// Guards against a planned stop that makes keys unknown: entries still know the table with the home
// that has left, and nothing else tells them of the new one.
test('a request that could not be sent to its home waits for a newer table and follows it', () => {
  const entry = new Entry();
  entry.showTable(1, 'a');
  assert.is(entry.begin(), 'to a');
  assert.is(entry.notSent(), 'need-table');
  assert.is(entry.pass(10), 'need-table');
  entry.showTable(2, 'b');
  assert.is(entry.pass(10), 'to b');
});

// Guards against four sends to the same node within 40 ms after which the request is given up.
test('a home that says it is none is asked again only after a time or by a newer table', () => {
  const entry = new Entry();
  entry.showTable(1, 'a');
  entry.begin();
  assert.is(entry.notHome('a'), 'need-table');
  assert.is(entry.pass(190), 'need-table');
  assert.is(entry.pass(10), 'to a');
  entry.notHome('a');
  entry.showTable(2, 'a');
  assert.is(entry.pass(10), 'to a');
});

test('a home that stays unreachable ends in an outcome that says so', () => {
  const entry = new Entry();
  entry.showTable(1, 'a');
  entry.begin();
  for (let tries = 0; tries < 4; tries += 1) {
    assert.is(entry.notSent(), 'need-table');
    assert.is(entry.pass(200), 'to a');
  }
  assert.is(entry.notSent(), 'home-unreachable');
});

test.run();
