import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeTable } from '../../src/index.js';
import { HomeOutbox } from '../../src/homes/home-outbox.js';
import { LeaseSurvey } from '../../src/homes/lease-survey.js';

const service = 'issuance';
const old = ['a', 'b', 'c', 'd', 'e'];
const table: HomeTable = { quorums: [old], ranges: [], service, version: 7 };
const changing: HomeTable = { ...table, quorums: [old, ['a', 'f', 'g']] };
const emptied: HomeTable = { ...table, quorums: [] };

/** A home that is out of reach, and what the witnesses that answer have promised. */
interface SurveyCase {
  readonly name: string;
  readonly of?: HomeTable;
  /** Witnesses without a promise to the home `x`. */
  readonly free: readonly string[];
  /** Witnesses whose promise to the home `x` is valid. */
  readonly bound?: readonly string[];
  readonly askedFor?: string;
  readonly age?: number;
}

function lapses(survey: SurveyCase): boolean {
  const { age = 100, askedFor = 'x', bound = [], free, of = table } = survey;
  const outbox = new HomeOutbox();
  const surveyor = new LeaseSurvey(service, outbox);
  surveyor.ask([askedFor], of, 1_000);
  const sent = outbox.take().flatMap((command) => (command.kind === 'send' ? [command.to] : []));
  assert.equal(sent, [...new Set(of.quorums.flat())]);
  const frame = { kind: 'home-lease-answer', round: 1, service } as const;
  for (const witness of free) surveyor.answered(witness, { ...frame, bound: [] });
  for (const witness of bound) surveyor.answered(witness, { ...frame, bound: ['x'] });
  return surveyor.hasLapsed('x', of, 1_000 + age);
}

const lapsed: readonly SurveyCase[] = [
  { name: 'a majority has no promise', free: ['a', 'b', 'c'] },
  { name: 'a majority has no promise, another has one', free: ['a', 'b', 'c'], bound: ['d'] },
  { name: 'a majority of both sets', free: ['a', 'b', 'c', 'f'], of: changing },
];

// Two zones that can't reach each other, but both reach the third, must not take each other's ranges.
const valid: readonly SurveyCase[] = [
  { name: 'the third zone still has a promise', free: ['a', 'b'], bound: ['c'] },
  { name: 'no answer', free: [] },
  { name: 'answers of a minority', free: ['a', 'b'] },
  { name: 'answers of a majority of one set only', free: ['a', 'b', 'c'], of: changing },
  { name: 'answers of servers that are no witnesses', free: ['a', 'b', 'x', 'y', 'z'] },
  { name: 'answers about another home', free: ['a', 'b', 'c'], askedFor: 'y' },
  { name: 'old answers', free: ['a', 'b', 'c'], age: 2_000 },
  { name: 'a table without witnesses', free: [], of: emptied },
];

for (const survey of lapsed) {
  test(`a lease has lapsed: ${survey.name}`, () => {
    assert.is(lapses(survey), true);
  });
}

for (const survey of valid) {
  test(`a lease may be valid: ${survey.name}`, () => {
    assert.is(lapses(survey), false);
  });
}

test('an answer that arrives after a newer one does not count', () => {
  const survey = new LeaseSurvey(service, new HomeOutbox());
  survey.ask(['x'], table, 0);
  survey.ask(['x'], table, 500);
  const frame = { kind: 'home-lease-answer', service } as const;
  for (const witness of old) survey.answered(witness, { ...frame, bound: ['x'], round: 2 });
  for (const witness of old) survey.answered(witness, { ...frame, bound: [], round: 1 });
  assert.is(survey.hasLapsed('x', table, 600), false);
});

// A node that is cut off took every range for itself again and again, and the others took them back.
test('a majority is reachable only while it answers', () => {
  const survey = new LeaseSurvey(service, new HomeOutbox());
  survey.ask([], table, 0);
  const frame = { bound: [], kind: 'home-lease-answer', round: 1, service } as const;
  survey.answered('a', frame);
  survey.answered('b', frame);
  assert.is(survey.isMajorityReachable(table, 10), false);
  survey.answered('c', frame);
  assert.is(survey.isMajorityReachable(table, 10), true);
  assert.is(survey.isMajorityReachable(table, 2_000), false);
});

test.run();
