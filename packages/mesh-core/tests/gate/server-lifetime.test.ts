import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ReportEffect, ServerLifetime } from '../../src/index.js';
import type { ServerReport } from '../../src/index.js';
import { createServerReport } from '../fixtures.js';

type Step = readonly [Partial<ServerReport> | 'leave', ReportEffect | boolean];

/** Reports in the order of their arrival, and what each changes. */
const cases: readonly (readonly [string, readonly Step[], string])[] = [
  ['a first report starts a lifetime', [[{}, 'started']], 'ready'],
  [
    'a report that was sent before the server drained does not open the gate again',
    [
      [{ sequence: 1 }, 'started'],
      [{ draining: true, sequence: 5 }, 'draining'],
      [{ sequence: 4 }, 'ignored'],
      [{ sequence: 6 }, 'unchanged'],
    ],
    'draining',
  ],
  [
    'a late report of a server that has left starts nothing',
    [
      [{}, 'started'],
      ['leave', true],
      [{ sequence: 9 }, 'ignored'],
    ],
    'absent',
  ],
  [
    'a report that arrives after its sender was replaced names no server to use',
    [
      [{ instanceId: 'i-1', startedAt: 1_000 }, 'started'],
      [{ instanceId: 'i-2', sequence: 1, startedAt: 2_000 }, 'started'],
      [{ instanceId: 'i-1', sequence: 8, startedAt: 1_000 }, 'ignored'],
    ],
    'ready',
  ],
  [
    'a server that starts again under its identifier begins a lifetime with a new count',
    [
      [{ sequence: 40, startedAt: 1_000 }, 'started'],
      [{ draining: true, sequence: 41, startedAt: 1_000 }, 'draining'],
      [{ sequence: 1, startedAt: 2_000 }, 'started'],
      [{ sequence: 42, startedAt: 1_000 }, 'ignored'],
    ],
    'ready',
  ],
  [
    'a server that left may start again under its identifier',
    [
      [{ startedAt: 1_000 }, 'started'],
      ['leave', true],
      [{ sequence: 1, startedAt: 3_000 }, 'started'],
    ],
    'ready',
  ],
  [
    'a server that is first heard of while it drains takes nothing',
    [[{ draining: true }, 'draining']],
    'draining',
  ],
];

for (const [name, steps, state] of cases) {
  test(name, () => {
    const lifetime = new ServerLifetime();
    for (const [change, expected] of steps) {
      if (change === 'leave') assert.is(lifetime.leave('i-1'), expected);
      else assert.is(lifetime.report(createServerReport(change), 0), expected);
    }
    assert.is(lifetime.state, state);
  });
}

/** What an earlier life of the node knew, what the server says after that, and the state that follows. */
const lifetimesEndedBefore: readonly (readonly [string, Partial<ServerReport>, string])[] = [
  ['a late report of it starts nothing', { startedAt: 1_000 }, 'absent'],
  ['a report without a start starts nothing', { startedAt: undefined }, 'absent'],
  ['a later start under its identifier is used', { startedAt: 2_000 }, 'ready'],
  ['another server is used', { instanceId: 'i-2', startedAt: 900 }, 'ready'],
];

for (const [name, change, state] of lifetimesEndedBefore) {
  for (const isToldFirst of [true, false]) {
    const order = isToldFirst ? 'told before' : 'told after';
    test(`a server that an earlier life has shut for, ${order}: ${name}`, () => {
      const lifetime = new ServerLifetime();
      const ended = { instanceId: 'i-1', startedAt: 1_000 };
      if (isToldFirst) lifetime.endedBefore(ended);
      lifetime.report(createServerReport(change), 0);
      if (!isToldFirst) lifetime.endedBefore(ended);
      assert.is(lifetime.state, state);
    });
  }
}

test('a server that an earlier life has shut for is not used for a good health answer', () => {
  const lifetime = new ServerLifetime();
  lifetime.endedBefore({ instanceId: 'i-1', startedAt: 1_000 });
  lifetime.seen('i-1', 4, 0);
  assert.is(lifetime.state, 'absent');
});

test('the lifetime that drains or ended last can be told to others', () => {
  const lifetime = new ServerLifetime();
  assert.is(lifetime.lastEnded, undefined);
  lifetime.report(createServerReport({ startedAt: 1_000 }), 0);
  assert.is(lifetime.lastEnded, undefined);
  lifetime.report(createServerReport({ draining: true, sequence: 2, startedAt: 1_000 }), 0);
  assert.equal(lifetime.lastEnded, { instanceId: 'i-1', startedAt: 1_000 });
  lifetime.leave('i-1');
  assert.equal(lifetime.lastEnded, { instanceId: 'i-1', startedAt: 1_000 });
});

// A node that had started again beside a draining server ignored every later lifetime of the same identifier.
test('a leave after another node told of the end keeps its start, so the next lifetime is used', () => {
  const lifetime = new ServerLifetime();
  lifetime.endedBefore({ instanceId: 'i-1', startedAt: 1_000 });
  lifetime.leave('i-1');
  assert.is(
    lifetime.report(createServerReport({ instanceId: 'i-1', startedAt: 1_000 }), 0),
    ReportEffect.Ignored,
  );
  assert.is(
    lifetime.report(createServerReport({ instanceId: 'i-1', startedAt: 2_000 }), 0),
    ReportEffect.Started,
  );
});

test('an end that is told late does not bring an earlier start back', () => {
  const lifetime = new ServerLifetime();
  lifetime.endedBefore({ instanceId: 'i-1', startedAt: 2_000 });
  lifetime.endedBefore({ instanceId: 'i-1', startedAt: 1_000 });
  assert.is(
    lifetime.report(createServerReport({ instanceId: 'i-1', startedAt: 2_000 }), 0),
    ReportEffect.Ignored,
  );
});

test('the leaving of another lifetime closes nothing', () => {
  const lifetime = new ServerLifetime();
  lifetime.report(createServerReport(), 0);
  assert.not(lifetime.leave('i-0'));
  assert.is(lifetime.state, 'ready');
});

test('a health answer is as good as a report only while nothing else is known', () => {
  const lifetime = new ServerLifetime();
  assert.is(lifetime.seen('i-1', 3, 0), ReportEffect.Started);
  assert.is(lifetime.slots, 3);
  assert.is(lifetime.report(createServerReport({ slots: 5 }), 0), ReportEffect.Unchanged);
  assert.is(lifetime.slots, 5);
});

// Seed 1445 of the virtual mesh: the lifetime stayed without its start, so all reports of the next one
// under its identifier, its draining among them, were taken for late ones.
test('a lifetime that a health check told of ends when its server starts again under its identifier', () => {
  const lifetime = new ServerLifetime();
  lifetime.seen('i-1', 3, 0);
  lifetime.report(createServerReport({ sequence: 7, startedAt: 1_000 }), 0);
  assert.is(
    lifetime.report(createServerReport({ sequence: 1, startedAt: 2_000 }), 0),
    ReportEffect.Started,
  );
  const draining = createServerReport({ draining: true, sequence: 2, startedAt: 2_000 });
  assert.is(lifetime.report(draining, 0), ReportEffect.Draining);
});

test.run();
