import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { HomeOutbox } from '../../src/homes/home-outbox.js';
import { WitnessPoll } from '../../src/homes/witness-poll.js';

const service = 'issuance';
const witnesses = ['a', 'b', 'c', 'd', 'e'];
const table: HomeTable = { quorums: [witnesses], ranges: [], service, version: 7 };
const changingWitnesses: HomeTable = { ...table, quorums: [witnesses, ['a', 'f', 'g']] };
const withoutWitnesses: HomeTable = { ...table, quorums: [] };

/** Answers of witnesses about the unreachable home `x`. */
interface PollCase {
  readonly name: string;
  readonly homeTable?: HomeTable;
  /** Witnesses without a promise to the home `x`. */
  readonly free: readonly string[];
  /** Witnesses whose promise to the home `x` is valid. */
  readonly bound?: readonly string[];
  /** The home that the poll asks about, `x` by default. */
  readonly askedFor?: string;
  /** Time since the poll in milliseconds. */
  readonly age?: number;
}

function isReportedLapsed(pollCase: PollCase): boolean {
  const { age = 100, askedFor = 'x', bound = [], free, homeTable = table } = pollCase;
  const outbox = new HomeOutbox();
  const poll = new WitnessPoll(service, outbox);
  poll.pollIfDue([askedFor], homeTable, 1_000);
  const sent = outbox
    .takeCommands()
    .flatMap((command) => (command.kind === 'send' ? [command.to] : []));
  assert.equal(sent, [...new Set(homeTable.quorums.flat())]);
  const frame = { kind: 'home-lease-answer', round: 1, service } as const;
  for (const witness of free) poll.onAnswer(witness, { ...frame, bound: [] });
  for (const witness of bound) poll.onAnswer(witness, { ...frame, bound: ['x'] });
  return poll.hasLeaseLapsed('x', homeTable, 1_000 + age);
}

const lapsed: readonly PollCase[] = [
  { name: 'a majority has no promise', free: ['a', 'b', 'c'] },
  { name: 'a majority has no promise, another has one', free: ['a', 'b', 'c'], bound: ['d'] },
  { name: 'a majority of both sets', free: ['a', 'b', 'c', 'f'], homeTable: changingWitnesses },
];

// Two zones that can't reach each other, but both reach the third, must not take each other's ranges.
const valid: readonly PollCase[] = [
  { name: 'the third zone still has a promise', free: ['a', 'b'], bound: ['c'] },
  { name: 'no answer', free: [] },
  { name: 'answers of a minority', free: ['a', 'b'] },
  {
    name: 'answers of a majority of one set only',
    free: ['a', 'b', 'c'],
    homeTable: changingWitnesses,
  },
  { name: 'answers of servers that are no witnesses', free: ['a', 'b', 'x', 'y', 'z'] },
  { name: 'answers about another home', free: ['a', 'b', 'c'], askedFor: 'y' },
  { name: 'old answers', free: ['a', 'b', 'c'], age: 2_000 },
  { name: 'a table without witnesses', free: [], homeTable: withoutWitnesses },
];

for (const pollCase of lapsed) {
  test(`a lease has lapsed: ${pollCase.name}`, () => {
    assert.is(isReportedLapsed(pollCase), true);
  });
}

for (const pollCase of valid) {
  test(`a lease may be valid: ${pollCase.name}`, () => {
    assert.is(isReportedLapsed(pollCase), false);
  });
}

test('an answer that arrives after a newer one does not count', () => {
  const witnessPoll = new WitnessPoll(service, new HomeOutbox());
  witnessPoll.pollIfDue(['x'], table, 0);
  witnessPoll.pollIfDue(['x'], table, 500);
  const frame = { kind: 'home-lease-answer', service } as const;
  for (const witness of witnesses)
    witnessPoll.onAnswer(witness, { ...frame, bound: ['x'], round: 2 });
  for (const witness of witnesses) witnessPoll.onAnswer(witness, { ...frame, bound: [], round: 1 });
  assert.is(witnessPoll.hasLeaseLapsed('x', table, 600), false);
});

// Guards against a node that is cut off from the witnesses and takes over every range again and again,
// while the other nodes take them back.
test('a majority is reachable only while it answers', () => {
  const witnessPoll = new WitnessPoll(service, new HomeOutbox());
  witnessPoll.pollIfDue([], table, 0);
  const frame = { bound: [], kind: 'home-lease-answer', round: 1, service } as const;
  witnessPoll.onAnswer('a', frame);
  witnessPoll.onAnswer('b', frame);
  assert.is(witnessPoll.isMajorityReachable(table, 10), false);
  witnessPoll.onAnswer('c', frame);
  assert.is(witnessPoll.isMajorityReachable(table, 10), true);
  assert.is(witnessPoll.isMajorityReachable(table, 2_000), false);
});

test.run();
