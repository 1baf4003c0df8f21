import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { decodeDirectoryEntry, encodeDirectoryEntry } from '../src/mesh/mesh-directory-entry.js';
import { GracefulShutdown } from '../src/mesh/graceful-shutdown.js';

/** Milliseconds since the stop signal, requests in progress, and whether the process may exit. */
const exitCases: readonly (readonly [number, number, boolean])[] = [
  [0, 0, false],
  [2_000, 0, false],
  [2_400, 0, true],
  [2_400, 1, false],
  [5_200, 1, false],
  [5_300, 1, true],
];

for (const [elapsed, inProgress, mayExit] of exitCases) {
  test(`${elapsed} ms after the stop signal, ${inProgress} requests in progress: the process ${mayExit ? 'may' : 'must not'} exit`, () => {
    assert.is(new GracefulShutdown(1_000, 6_000).mayExit(1_000 + elapsed, inProgress), mayExit);
  });
}

test('requests are refused that might not complete before the process exits', () => {
  const shutdown = new GracefulShutdown(0, 6_000);
  assert.not(shutdown.refusesRequests(2_900));
  assert.ok(shutdown.refusesRequests(3_100));
});

const node = {
  address: '10.0.0.1:7600',
  availabilityZone: 'a',
  boot: 12,
  name: 'n1',
  region: 'r',
  service: 'shop',
};

test('a directory entry is decoded to the node that was encoded', () => {
  assert.equal(decodeDirectoryEntry(encodeDirectoryEntry(node)), node);
});

/** Values that other programs may write to the directory; none is a valid entry. */
const invalidEntries: readonly (readonly [string, Uint8Array])[] = [
  ['bytes that are not valid UTF-8', Buffer.from([0xff, 0xfe, 0x00])],
  ['null instead of an object', Buffer.from('null')],
  ['an array instead of an object', Buffer.from('[]')],
  ['a missing field', Buffer.from(JSON.stringify({ ...node, address: undefined }))],
  ['a field of another type', Buffer.from(JSON.stringify({ ...node, boot: '12' }))],
  ['an empty name', Buffer.from(JSON.stringify({ ...node, name: '' }))],
];

for (const [name, value] of invalidEntries) {
  test(`a directory entry with ${name} is rejected`, () => {
    assert.is(decodeDirectoryEntry(value), undefined);
  });
}

test.run();
