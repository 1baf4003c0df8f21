import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { GateTable, RouteServiceTimes } from '../../src/index.js';
import type { GateView } from '../../src/index.js';
import { createLoad, createNode } from '../fixtures.js';

const workMilliseconds = { long: 105, nested: 38, short: 51 } as const;
type RouteName = keyof typeof workMilliseconds;

/** Replies of three gates, whose servers take the given multiples of the usual time. */
class Replies {
  public readonly times = new RouteServiceTimes();
  private readonly table = new GateTable();

  public constructor(private readonly slownessByGate: Readonly<Record<string, number>>) {
    for (const name of Object.keys(slownessByGate))
      this.table.onConnected(createNode(name), createLoad(), 0);
  }

  public view(name: string): GateView {
    const view = this.table.get(name);
    assert.ok(view !== undefined);
    return view;
  }

  public record(
    routes: readonly RouteName[],
    rounds: number,
    now = 0,
    gates = Object.keys(this.slownessByGate),
  ): void {
    for (let round = 0; round < rounds; round += 1) {
      for (const name of gates) {
        const slowness = this.slownessByGate[name] ?? 1;
        for (const route of routes) {
          const routeMilliseconds = workMilliseconds[route] * slowness;
          const view = this.table.onLoadReported(name, createLoad({ routeMilliseconds }), now);
          if (view !== undefined) this.times.recordReply(view, route, now);
        }
      }
    }
  }

  public expected(name: string, route: RouteName, now = 0): number {
    return this.times.expectedMilliseconds(this.view(name), route, now) ?? NaN;
  }
}

function assertNear(actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) <= expected * 0.2, `${actual} instead of ${expected}`);
}

test('routes of one server have their own times, not the mean of all', () => {
  const replies = new Replies({ a: 1, b: 1, c: 1 });
  replies.record(['long', 'nested', 'short'], 10);
  for (const [route, milliseconds] of Object.entries(workMilliseconds))
    assertNear(replies.expected('a', route as RouteName), milliseconds);
});

test('a slow server is expected to be slow for a route that it has not run', () => {
  const replies = new Replies({ a: 1, b: 1, c: 5 });
  replies.record(['long'], 10);
  replies.record(['short'], 10, 0, ['a', 'b']);
  assertNear(replies.expected('a', 'short'), workMilliseconds.short);
  assert.ok(replies.expected('c', 'short') > workMilliseconds.short * 2.5);
});

test('a server that was slow is tried again, since only a request can show that it has recovered', () => {
  const replies = new Replies({ a: 1, b: 1, c: 5 });
  replies.record(['short'], 10);
  assert.ok(replies.expected('c', 'short') > workMilliseconds.short * 2.5);
  assert.is(replies.expected('c', 'short', 10_000), replies.expected('a', 'short', 10_000));
});

test('the time is unknown before the first reply, after a route has been removed, and from older nodes', () => {
  const replies = new Replies({ a: 1 });
  replies.times.recordReply(replies.view('a'), 'short', 0);
  assert.is(replies.times.expectedMilliseconds(replies.view('a'), 'short', 0), undefined);
  replies.record(['short'], 1);
  assert.is(replies.expected('a', 'short'), workMilliseconds.short);
  replies.times.retainRoutes(new Set(['long']));
  assert.is(replies.times.expectedMilliseconds(replies.view('a'), 'short', 0), undefined);
});

test.run();
