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

/** Precedence of a state among records of the same incarnation; the higher rank supersedes. */
export function stateRank(state: MemberState): number {
  return stateRanks[state];
}

/** Whether a record supersedes the known record of the same server. */
export function supersedes(record: RecordVersion, known: RecordVersion): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  return record.rank > known.rank;
}

/** The values that decide which of two records of a server is newer. */
export interface RecordVersion {
  readonly incarnation: number;
  readonly rank: number;
}

export function versionOf(record: MemberRecord): RecordVersion {
  return { incarnation: record.incarnation, rank: stateRank(record.state) };
}

/** Whether the member is part of the cluster: it is neither dead nor has it left. */
export function isLive(record: MemberRecord): boolean {
  return record.state !== MemberState.Dead && record.state !== MemberState.Left;
}

/**
 * Hash of the server, incarnation and state rank of a record, which is XORed into digests. It is the
 * same on all nodes.
 */
export function hashRecord(serverHash: number, record: MemberRecord): number {
  const low = record.incarnation % 4_294_967_296;
  const high = Math.floor(record.incarnation / 4_294_967_296);
  return mixHash(serverHash ^ mixHash(low ^ mixHash(high * 8 + stateRank(record.state) + 1)));
}

/** Weight of a server in the choice of the bridges of its zone; the highest weights are chosen. */
export function bridgeWeight(availabilityZone: string, server: string): number {
  return hashString(`${availabilityZone}/${server}`);
}
