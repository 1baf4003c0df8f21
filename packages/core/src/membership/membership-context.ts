import type { MembershipFrame } from '../messages/frames.js';
import type { MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { MemberTable } from './member-table.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

/** Shared by the classes of the membership: the member table, this node's entry and actions. */
export interface MembershipContext {
  readonly table: MemberTable;
  readonly random: RandomSource;
  readonly self: () => MemberEntry;
  readonly ownZone: () => ZoneMembers;
  readonly configurationRevision: () => number;
  readonly send: (to: MemberRecord, frame: MembershipFrame) => void;
  /** Applies a record that this node created or received; returns whether it changed the table. */
  readonly applyRecord: (record: MemberRecord, origin: RecordOrigin, now: ClockReading) => boolean;
  readonly count: (counter: string, amount?: number) => void;
  readonly logEvent: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Origin of a record. */
export interface RecordOrigin {
  /** The server that sent the record; this node's own server for records that it created. */
  readonly from: string;
  /** Whether to gossip the record if it is new to this node. */
  readonly shouldGossip: boolean;
}
