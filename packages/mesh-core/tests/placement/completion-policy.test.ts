import { SeededRandomSource } from '@peridotspring/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CompletionPolicy, TargetBook } from '../../src/index.js';
import type { GateLoad, MeshNode } from '../../src/index.js';
import { load, node } from '../fixtures.js';

const own = { availabilityZone: 'zone-a', region: 'region-1' };
const far: Partial<MeshNode> = { availabilityZone: 'zone-b' };

type Gate = readonly [name: string, load: Partial<GateLoad>, place?: Partial<MeshNode>];

/** Gates, kilobytes of a request, and the gate that is chosen. */
const cases: readonly (readonly [string, readonly Gate[], number, string])[] = [
  [
    'an idle gate before one with a queue',
    [
      ['a', { running: 4, waitMilliseconds: 100, waiting: 3 }],
      ['b', {}],
    ],
    1,
    'b',
  ],
  [
    'the less used gate',
    [
      ['a', { running: 3 }],
      ['b', { running: 1 }],
    ],
    1,
    'b',
  ],
  [
    'the own zone when both are idle',
    [
      ['a', {}, far],
      ['b', { running: 1 }],
    ],
    1,
    'b',
  ],
  [
    'another zone when the own one would make the request wait long',
    [
      ['a', {}, far],
      ['b', { running: 4, waitMilliseconds: 125, waiting: 4 }],
    ],
    1,
    'a',
  ],
  [
    'the own zone despite a short wait when the answer is long',
    [
      ['a', {}, far],
      ['b', { running: 4, waitMilliseconds: 25, waiting: 0 }],
    ],
    12,
    'b',
  ],
  [
    'a gate whose server answers before one that fails half',
    [
      ['a', { failureShare: 0.5 }],
      ['b', { running: 4, waiting: 2 }],
    ],
    1,
    'b',
  ],
  [
    'a gate at its usual speed before one in a slow moment',
    [
      ['a', { slowdown: 5 }],
      ['b', { running: 3 }],
    ],
    1,
    'b',
  ],
  [
    'a quicker server',
    [
      ['a', { serviceMilliseconds: 500 }],
      ['b', { running: 2 }],
    ],
    1,
    'b',
  ],
  [
    'never a gate that drains',
    [
      ['a', { state: 'draining' }],
      ['b', { running: 4, waiting: 9 }],
    ],
    1,
    'b',
  ],
];

for (const [name, gates, kilobytes, expected] of cases) {
  test(`chooses ${name}`, () => {
    const book = new TargetBook();
    for (const [gate, state, place] of gates) book.connected(node(gate, place), load(state), 0);
    const policy = new CompletionPolicy({ ...own, random: new SeededRandomSource(1) });
    const placed = policy.choose(book.ready('shop'), {
      excluded: new Set(),
      kilobytes,
      now: 0,
      targetMilliseconds: 400,
    });
    assert.is(placed?.view.node.name, expected);
  });
}

test('requests that were sent since a report count, so that a burst is spread', () => {
  const book = new TargetBook();
  for (const name of ['a', 'b', 'c']) book.connected(node(name), load(), 0);
  const policy = new CompletionPolicy({ ...own, random: new SeededRandomSource(1) });
  const counts = new Map<string, number>();
  for (let request = 0; request < 12; request += 1) {
    const placed = policy.choose(book.ready('shop'), {
      excluded: new Set(),
      kilobytes: 1,
      now: 0,
      targetMilliseconds: 400,
    });
    const name = placed?.view.node.name ?? '';
    book.sent(name);
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  assert.equal([...counts.values()], [4, 4, 4]);
});

test('equal gates are drawn at random, so that nodes with the same view do not choose the same', () => {
  const chosen = new Set<string | undefined>();
  for (let seed = 0; seed < 20; seed += 1) {
    const book = new TargetBook();
    for (const name of ['a', 'b', 'c']) book.connected(node(name), load(), 0);
    const policy = new CompletionPolicy({ ...own, random: new SeededRandomSource(seed) });
    const placement = {
      excluded: new Set<string>(),
      kilobytes: 1,
      now: 0,
      targetMilliseconds: 400,
    };
    chosen.add(policy.choose(book.ready('shop'), placement)?.view.node.name);
  }
  assert.is(chosen.size, 3);
});

test('gates that are excluded, not connected or of another service are not chosen', () => {
  const book = new TargetBook();
  book.connected(node('a'), load(), 0);
  book.connected(node('b'), load(), 0);
  book.connected(node('c', { service: 'cart' }), load(), 0);
  book.disconnected('b');
  const policy = new CompletionPolicy({ ...own, random: new SeededRandomSource(1) });
  const placement = { excluded: new Set(['a']), kilobytes: 1, now: 0, targetMilliseconds: 400 };
  assert.is(policy.choose(book.ready('shop'), placement), undefined);
});

test.run();
