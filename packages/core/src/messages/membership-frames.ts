import type { MemberRecord, ZoneReachability } from './member.js';

/** Failure detector probe; carries piggybacked gossip. */
export interface PingFrame {
  readonly kind: 'ping';
  readonly sequence: number;
  readonly updates: readonly MemberRecord[];
  readonly configurationRevision: number;
}

export interface AcknowledgementFrame {
  readonly kind: 'acknowledgement';
  readonly sequence: number;
  /** The server that is alive; differs from the sender after an indirect ping. */
  readonly server: string;
  readonly updates: readonly MemberRecord[];
  readonly configurationRevision: number;
}

/** Asks a member to ping another member on behalf of the sender. */
export interface PingRequestFrame {
  readonly kind: 'ping-request';
  readonly sequence: number;
  readonly target: string;
}

export interface MemberUpdatesFrame {
  readonly kind: 'member-updates';
  readonly updates: readonly MemberRecord[];
  /** Reachability of other zones as observed by the sender's bridges; only sent within a zone. */
  readonly zones?: ZoneReachability | undefined;
}

/** Server, incarnation and rank of the state: enough to determine which of two records is newer. */
export type MemberStamp = readonly [server: string, incarnation: number, stateRank: number];

/** First step of a comparison: a digest of the live members of each availability zone. */
export interface MemberSyncZonesFrame {
  readonly kind: 'member-sync';
  readonly step: 'zones';
  readonly digests: Readonly<Record<string, number>>;
}

/** Second step: digests of the buckets of a zone whose digests differed. */
export interface MemberSyncBucketsFrame {
  readonly kind: 'member-sync';
  readonly step: 'buckets';
  readonly availabilityZone: string;
  readonly digests: readonly number[];
}

/** Third step: stamps of the sender's records in the buckets that differed. */
export interface MemberSyncStampsFrame {
  readonly kind: 'member-sync';
  readonly step: 'stamps';
  readonly availabilityZone: string;
  readonly buckets: readonly number[];
  readonly stamps: readonly MemberStamp[];
}

/** Fourth step: records that are newer at the sender, and servers whose records the sender requests. */
export interface MemberSyncRecordsFrame {
  readonly kind: 'member-sync';
  readonly step: 'records';
  readonly records: readonly MemberRecord[];
  readonly wanted: readonly string[];
}

/**
 * Compares the member tables of two nodes; each step replies to the previous one and is bounded in
 * size.
 */
export type MemberSyncFrame =
  MemberSyncZonesFrame | MemberSyncBucketsFrame | MemberSyncStampsFrame | MemberSyncRecordsFrame;

export type MembershipFrame =
  PingFrame | AcknowledgementFrame | PingRequestFrame | MemberUpdatesFrame | MemberSyncFrame;
