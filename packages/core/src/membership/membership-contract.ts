import type { MembershipFrame } from '../messages/frames.js';
import type { MemberRecord, UpstreamAnnouncement } from '../messages/member.js';
import type { CountCommand, LogCommand } from '../messages/core-command.js';
import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** Sends a frame to another node. */
export interface SendMembershipFrameCommand {
  readonly kind: 'send';
  readonly to: string;
  /** Needed for seeds that are no members yet. */
  readonly address: string;
  readonly frame: MembershipFrame;
}

/** Asks for a store operation; its result comes back under the identifier. */
export interface MembershipStoreCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** The record of one member changed, its reachability included. */
export interface MemberChangedCommand {
  readonly kind: 'member-changed';
  readonly member: MemberRecord;
  /** False while the member's availability zone or region can't be reached. */
  readonly reachable: boolean;
}

/** A member has a higher or lower configuration revision than this node. */
export interface RevisionSeenCommand {
  readonly kind: 'revision-seen';
  readonly server: string;
  readonly revision: number;
}

/** Everything that a membership asks of its surroundings. */
export type MembershipCommand =
  | SendMembershipFrameCommand
  | MembershipStoreCommand
  | MemberChangedCommand
  | RevisionSeenCommand
  | CountCommand
  | LogCommand;

/** Keeps the list of members and their liveness. */
export interface MembershipContract {
  frame(from: string, frame: MembershipFrame, now: ClockReading): readonly MembershipCommand[];
  peerLost(server: string, now: ClockReading): readonly MembershipCommand[];
  storeResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly MembershipCommand[];
  announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly MembershipCommand[];
  setDraining(draining: boolean, now: ClockReading): readonly MembershipCommand[];
  /** Tells the others that this node goes away. */
  leave(now: ClockReading): readonly MembershipCommand[];
  setConfigurationRevision(revision: number): void;
  tick(now: ClockReading): readonly MembershipCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  members(): readonly MemberRecord[];
  member(server: string): MemberRecord | undefined;
  /** This node is one of its availability zone's bridge nodes. */
  readonly isBridge: boolean;
}
