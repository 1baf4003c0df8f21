import { test } from 'uvu';
import * as assert from 'uvu/assert';

import {
  decodeDirectoryEntry,
  encodeDirectoryEntry,
  readRecordsEra,
} from '../src/mesh/mesh-directory-entry.js';
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
  assert.is(shutdown.refusesFrom, 3_000);
  assert.is(shutdown.outcomesDueAt, 5_200);
});

test('the gate of a stopping node goes on for a part of the time for which callers still come', () => {
  for (const graceMilliseconds of [2_000, 6_000, 30_000]) {
    const shutdown = new GracefulShutdown(0, graceMilliseconds);
    assert.ok(shutdown.gateClosesFrom > 0 && shutdown.gateClosesFrom < shutdown.refusesFrom);
    assert.not(shutdown.mayExit(shutdown.gateClosesFrom + 500, 0));
  }
});

test('a short grace period leaves time to answer the requests that were taken, and to exit before its end', () => {
  const shutdown = new GracefulShutdown(0, 4_000);
  assert.is(shutdown.refusesFrom, 2_000);
  assert.is(shutdown.outcomesDueAt, 3_400);
  assert.not(shutdown.mayExit(3_499, 1));
  assert.ok(shutdown.mayExit(3_500, 1));
});

const node = {
  address: '10.0.0.1:7600',
  availabilityZone: 'a',
  boot: 12,
  name: 'n1',
  region: 'r',
  service: 'shop',
};

const latestBoot = 1_000;

/** An entry that is valid apart from an additional field. */
function entryWithNestedLists(depth: number): Uint8Array {
  const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
  return Buffer.from(`{"other":${nested},${JSON.stringify(node).slice(1)}`);
}

test('unknown fields of a directory entry are not kept, since they would be sent on to all peers', () => {
  assert.equal(decodeDirectoryEntry(entryWithNestedLists(1_000), latestBoot), node);
});

test('a directory entry is decoded to the node that was encoded', () => {
  for (const era of [undefined, 3]) {
    const entry = encodeDirectoryEntry(node, era);
    assert.equal(decodeDirectoryEntry(entry, latestBoot), node);
    assert.is(readRecordsEra(entry), era);
  }
});

/** Values that other programs may write to the directory; none is a valid entry. */
const invalidEntries: readonly (readonly [string, Uint8Array])[] = [
  ['bytes that are not valid UTF-8', Buffer.from([0xff, 0xfe, 0x00])],
  ['null instead of an object', Buffer.from('null')],
  ['an array instead of an object', Buffer.from('[]')],
  ['a missing field', Buffer.from(JSON.stringify({ ...node, address: undefined }))],
  ['a field of another type', Buffer.from(JSON.stringify({ ...node, boot: '12' }))],
  ['an empty name', Buffer.from(JSON.stringify({ ...node, name: '' }))],
  ['a port out of range', Buffer.from(JSON.stringify({ ...node, address: '10.0.0.1:99999' }))],
  ['port 0', Buffer.from(JSON.stringify({ ...node, address: '10.0.0.1:0' }))],
  ['a negative port', Buffer.from(JSON.stringify({ ...node, address: '10.0.0.1:-1' }))],
  ['a port that is no whole number', Buffer.from(JSON.stringify({ ...node, address: 'a:1e400' }))],
  ['an address without a port', Buffer.from(JSON.stringify({ ...node, address: '10.0.0.1' }))],
  ['an implausibly late start', Buffer.from(JSON.stringify({ ...node, boot: latestBoot + 1 }))],
  ['a number that is too large', Buffer.from(JSON.stringify(node).replace('12', '1e400'))],
  ['a field of 20,000 nested lists', entryWithNestedLists(20_000)],
  ['a field that is too long', Buffer.from(JSON.stringify({ ...node, region: 'r'.repeat(300) }))],
  ['a size of a megabyte', Buffer.from(JSON.stringify({ ...node, other: 'x'.repeat(1_000_000) }))],
];

for (const [name, value] of invalidEntries) {
  test(`a directory entry with ${name} is rejected`, () => {
    assert.is(decodeDirectoryEntry(value, latestBoot), undefined);
  });
}

test.run();
