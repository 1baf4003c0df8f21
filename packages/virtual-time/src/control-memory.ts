import { Membership, SeededRandomSource, type MemberRecord } from '@peridotspring/core';
import { Encoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false });
const zoneCount = 22;
/** As many as in a comparison after a start; few records at a time would also be queued as news. */
const recordsPerFrame = 500;

/** Heap that one node needs for the given number of members, in bytes. Needs an exposed collector. */
export function measureMemberHeap(members: number): number {
  const identity = {
    server: 'server-under-test',
    incarnation: 1_700_000_000_000,
    availabilityZone: 'zone-0-hall',
    region: 'region-0-west',
    peerAddress: '10.0.0.1:7400',
  };
  const before = collectedHeap();
  const membership = new Membership({ identity, random: new SeededRandomSource(1) });
  const now = { monotonic: 0, wall: identity.incarnation };
  for (let start = 0; start < members; start += recordsPerFrame) {
    const indexes = Array.from({ length: recordsPerFrame }, (_, offset) => start + offset);
    const sent = indexes.map(recordOf);
    // Decoded from bytes as on a connection, so that no text is shared with another record.
    const records = encoder.decode(encoder.encode(sent)) as readonly MemberRecord[];
    const frame = { kind: 'member-sync', step: 'records', records, wanted: [] } as const;
    membership.onFrame('server-1', frame, now);
  }
  const used = collectedHeap() - before;
  // Keeps the membership reachable until after the measurement.
  return membership.members().length > 0 ? used : 0;
}

function collectedHeap(): number {
  if (globalThis.gc === undefined) throw new Error('start node with --expose-gc');
  for (let round = 0; round < 3; round += 1) {
    globalThis.gc();
  }
  return process.memoryUsage().heapUsed;
}

function recordOf(index: number): MemberRecord {
  const incarnation = 1_700_000_000_000 + index;
  return {
    server: `server-${String(index).padStart(5, '0')}`,
    incarnation,
    availabilityZone: `zone-${index % zoneCount}-hall`,
    region: `region-${index % 6}-west`,
    peerAddress: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7400`,
    service: `service-${index % 1_300}`,
    slots: 10,
    state: 'serving',
    startedAt: incarnation,
  };
}
