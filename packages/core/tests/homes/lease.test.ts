import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { HomeConfirmFrame, HomePromiseFrame, HomeTable } from '../../src/index.js';
import { defaultHomeSettings as settings } from '../../src/index.js';
import { Lease } from '../../src/homes/lease.js';
import {
  firstTable,
  handOverTable,
  takeoverTable,
  witnessChangeTable,
} from '../../src/homes/table-plan.js';
import { Witness } from '../../src/homes/witness.js';

const lease = settings.leaseMilliseconds;
const a = { incarnation: 1, server: 'a' };
const b = { incarnation: 1, server: 'b' };
const first = firstTable('issuance', a, ['w1', 'w2', 'w3']);
const second = takeoverTable(
  first,
  [b],
  () => false,
  () => [],
);
const third = handOverTable(first, new Map([[0, { home: b, transfer: 't' }]]));

function confirm(table: HomeTable | undefined, released = false): HomeConfirmFrame {
  if (table === undefined) throw new Error('the table is missing');
  const { version } = table;
  return { kind: 'home-confirm', released, sequence: 1, service: 'issuance', table, version };
}

function startedWitness(storedVersion = 1): Witness {
  const witness = new Witness(settings);
  witness.recordStart(0);
  witness.onTableRead('issuance', storedVersion);
  return witness;
}

function accepts(witness: Witness, from: string, frame: HomeConfirmFrame, at: number): boolean {
  const answer = witness.confirm(from, frame, at);
  return answer.kind === 'answer' && answer.frame.accepted;
}

test('a restarted witness has lost its promises, so it waits for one lease and reads the table', () => {
  const witness = new Witness(settings);
  witness.recordStart(0);
  assert.is(witness.confirm('a', confirm(first), lease).kind, 'read-first');
  witness.onTableRead('issuance', 1);
  assert.not.ok(accepts(witness, 'a', confirm(first), lease - 1));
  assert.ok(accepts(witness, 'a', confirm(first), lease));
  assert.not.ok(accepts(startedWitness(2), 'a', confirm(first), lease));
});

const takeovers = [
  {
    name: 'takeover within the promise',
    table: second,
    from: 'b',
    released: false,
    at: 2 * lease - 1,
    expected: false,
  },
  {
    name: 'takeover after the promise',
    table: second,
    from: 'b',
    released: false,
    at: 2 * lease,
    expected: true,
  },
  {
    name: 'hand-over before the release',
    table: third,
    from: 'b',
    released: false,
    at: lease + 1,
    expected: false,
  },
  {
    name: 'hand-over released by the home',
    table: third,
    from: 'a',
    released: true,
    at: lease + 1,
    expected: true,
  },
  {
    name: 'release by another than the home',
    table: third,
    from: 'b',
    released: true,
    at: lease + 1,
    expected: false,
  },
];

for (const { at, expected, from, name, released, table } of takeovers) {
  test(`two homes must not hold a range at once: ${name}`, () => {
    const witness = startedWitness();
    assert.ok(accepts(witness, 'a', confirm(first), lease));
    assert.is(accepts(witness, from, confirm(table, released), at), expected);
  });
}

test('a witness that accepted a newer table sends it to the old home and accepts no older one', () => {
  const witness = startedWitness();
  assert.ok(accepts(witness, 'b', confirm(second), lease));
  const answer = witness.confirm('a', confirm(first), 5 * lease);
  if (answer.kind !== 'answer')
    throw new Error('the witness did not answer, although it has read the table');
  assert.not.ok(answer.frame.accepted);
  assert.is(answer.frame.table?.version, 2);
});

function promise(sequence: number, version: number, accepted = true): HomePromiseFrame {
  return { accepted, kind: 'home-promise', sequence, service: 'issuance', version };
}

test('a lease starts when its request was sent and needs a majority', () => {
  const home = new Lease(settings, 0);
  home.startRoundIfDue(first, true, 100);
  home.onPromise('w1', promise(1, 1));
  assert.is(home.validUntil(first), Number.NEGATIVE_INFINITY);
  home.onPromise('w2', promise(1, 1, false));
  home.onPromise('w2', promise(7, 1));
  home.onPromise('w2', promise(1, 2));
  assert.is(home.validUntil(first), Number.NEGATIVE_INFINITY);
  home.onPromise('w2', promise(1, 1));
  assert.is(home.validUntil(first), 100 + lease);
  home.startRoundIfDue(first, true, 100 + settings.confirmRetryMilliseconds);
  home.onPromise('w1', promise(2, 1));
  assert.is(home.validUntil(first), 100 + lease, 'one renewed promise is no majority');
});

test('the table is sent to a witness until it accepts it, and again after the witness lost it', () => {
  const home = new Lease(settings, 0);
  const sendsTable = (at: number): boolean[] =>
    home.startRoundIfDue(first, false, at).map(({ frame }) => frame.table !== undefined);
  assert.equal(sendsTable(0), [true, true, true]);
  home.onPromise('w1', promise(1, 1));
  home.onPromise('w2', promise(1, 1));
  assert.equal(sendsTable(1_000), [false, false, true]);
  home.onPromise('w2', promise(2, 0, false));
  assert.equal(sendsTable(2_000), [false, true, true]);
});

test('a witness that restarted does not accept a version whose table it has not seen', () => {
  const short = { ...confirm(first), table: undefined };
  assert.not.ok(accepts(startedWitness(), 'a', short, lease));
  const witness = startedWitness();
  assert.ok(accepts(witness, 'a', confirm(first), lease));
  assert.ok(accepts(witness, 'a', short, lease + 1));
});

test('while witnesses change, a lease needs a majority of both sets', () => {
  const changing = witnessChangeTable(first, ['w3', 'w4', 'w5']);
  if (changing === undefined) throw new Error('the table is missing');
  const home = new Lease(settings, 0);
  home.startRoundIfDue(changing, true, 0);
  for (const witness of ['w1', 'w2', 'w4']) home.onPromise(witness, promise(1, 2));
  assert.is(home.validUntil(changing), Number.NEGATIVE_INFINITY);
  home.onPromise('w5', promise(1, 2));
  assert.is(home.validUntil(changing), lease);
});

test.run();
