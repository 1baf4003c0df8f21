import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { decodeDirectoryEntry, encodeDirectoryEntry } from '../src/mesh/mesh-directory-entry.js';
import { StopPlan } from '../src/mesh/stop-plan.js';

/** Time since the signal, requests in progress, and whether the process may end. */
const ends: readonly (readonly [number, number, boolean])[] = [
  [0, 0, false],
  [2_000, 0, false],
  [2_400, 0, true],
  [2_400, 1, false],
  [5_200, 1, false],
  [5_300, 1, true],
];

for (const [elapsed, inProgress, mayEnd] of ends) {
  test(`${elapsed} ms after the signal with ${inProgress} in progress: ${mayEnd ? 'ends' : 'goes on'}`, () => {
    assert.is(new StopPlan(1_000, 6_000).mayEnd(1_000 + elapsed, inProgress), mayEnd);
  });
}

test('requests that could not end before the process does are refused', () => {
  const plan = new StopPlan(0, 6_000);
  assert.not(plan.refusesRequests(2_900));
  assert.ok(plan.refusesRequests(3_100));
});

const node = {
  address: '10.0.0.1:7600',
  availabilityZone: 'a',
  boot: 12,
  name: 'n1',
  region: 'r',
  service: 'shop',
};

test('an entry of the directory is read as it was written', () => {
  assert.equal(decodeDirectoryEntry(encodeDirectoryEntry(node)), node);
});

/** What another writer may leave in the directory: it names no node. */
const foreign: readonly (readonly [string, Uint8Array])[] = [
  ['bytes that are no text', Buffer.from([0xff, 0xfe, 0x00])],
  ['another form', Buffer.from('null')],
  ['a list', Buffer.from('[]')],
  ['a missing field', Buffer.from(JSON.stringify({ ...node, address: undefined }))],
  ['a field of another type', Buffer.from(JSON.stringify({ ...node, boot: '12' }))],
  ['an empty name', Buffer.from(JSON.stringify({ ...node, name: '' }))],
];

for (const [name, value] of foreign) {
  test(`an entry with ${name} names no node`, () => {
    assert.is(decodeDirectoryEntry(value), undefined);
  });
}

test.run();
