import { MemberState, type MemberRecord } from '../messages/member.js';
import { hashString, mixHash } from '../shared/string-hash.js';

const stateRanks: Readonly<Record<MemberState, number>> = {
  [MemberState.Serving]: 0,
  [MemberState.Warming]: 1,
  [MemberState.Suspect]: 2,
  [MemberState.Draining]: 3,
  [MemberState.Dead]: 4,
  [MemberState.Left]: 4,
};

/** Place of a state among records of the same incarnation; the higher rank wins. */
export function stateRank(state: MemberState): number {
  return stateRanks[state];
}

/** Whether one record of a server replaces another. */
export function supersedes(record: RecordVersion, known: RecordVersion): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return record.rank > known.rank;
}

/** What decides which of two records of a server is newer. */
export interface RecordVersion {
  readonly incarnation: number;
  readonly rank: number;
}

/** The part of a record that decides which of two is newer. */
export function versionOf(record: MemberRecord): RecordVersion {
  return { incarnation: record.incarnation, rank: stateRank(record.state) };
}

/** Whether the member takes part: it is neither dead nor gone. */
export function isLive(record: MemberRecord): boolean {
  return record.state !== MemberState.Dead && record.state !== MemberState.Left;
}

/** Contribution of a record to the digests; equal records of two nodes have equal stamps. */
export function stampHash(serverHash: number, record: MemberRecord): number {
  const low = record.incarnation % 4_294_967_296;
  const high = Math.floor(record.incarnation / 4_294_967_296);
  return mixHash(serverHash ^ mixHash(low ^ mixHash(high * 8 + stateRank(record.state) + 1)));
}

/** Rank of a server among the bridges of its zone; the highest serve. */
export function bridgeWeight(availabilityZone: string, server: string): number {
  return hashString(`${availabilityZone}/${server}`);
}
