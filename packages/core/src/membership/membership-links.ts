import type { MembershipFrame } from '../messages/frames.js';
import type { MemberRecord } from '../messages/member.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { RandomSource } from '../shared/random-source.js';
import type { MemberTable } from './member-table.js';
import type { MemberEntry, ZoneMembers } from './zone-members.js';

/** What the parts of the membership share: the table, this node's record and ways to act. */
export interface MembershipLinks {
  readonly table: MemberTable;
  readonly random: RandomSource;
  readonly self: () => MemberEntry;
  readonly ownZone: () => ZoneMembers;
  readonly configurationRevision: () => number;
  readonly send: (to: MemberRecord, frame: MembershipFrame) => void;
  /** Takes a record that this node made or was sent; returns whether it changed the table. */
  readonly learn: (record: MemberRecord, origin: RecordOrigin, now: ClockReading) => boolean;
  readonly count: (counter: string, by?: number) => void;
  readonly report: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** Where a record came from. */
export interface RecordOrigin {
  /** The server that sent it; this node's own for records that it made. */
  readonly from: string;
  /** Whether it has to be passed on if this node didn't know it. */
  readonly isNews: boolean;
}
