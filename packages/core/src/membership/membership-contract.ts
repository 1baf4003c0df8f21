import type { MembershipFrame } from '../messages/frames.js';
import type { MemberRecord, UpstreamAnnouncement } from '../messages/member.js';
import type { CountCommand, LogCommand } from '../messages/core-command.js';
import type { StoreOperation, StoreResult } from '../messages/store.js';
import type { ClockReading } from '../shared/clock-reading.js';

/** Sends a frame to another node. */
export interface SendMembershipFrameCommand {
  readonly kind: 'send';
  readonly to: string;
  /** Peer address, `host:port`; seeds that are not members yet have no other source for it. */
  readonly address: string;
  readonly frame: MembershipFrame;
}

/** Requests a store operation; its result is delivered with the same `operationId`. */
export interface MembershipStoreCommand {
  readonly kind: 'store';
  readonly operationId: number;
  readonly operation: StoreOperation;
}

/** The record or the reachability of a member has changed. */
export interface MemberChangedCommand {
  readonly kind: 'member-changed';
  readonly member: MemberRecord;
  /** False while the member's availability zone can't be reached. */
  readonly reachable: boolean;
}

/** A member reported a configuration revision that differs from this node's. */
export interface RevisionSeenCommand {
  readonly kind: 'revision-seen';
  readonly server: string;
  readonly revision: number;
}

/** Commands that a membership returns for its caller to execute. */
export type MembershipCommand =
  | SendMembershipFrameCommand
  | MembershipStoreCommand
  | MemberChangedCommand
  | RevisionSeenCommand
  | CountCommand
  | LogCommand;

/** Maintains the list of members and their liveness. */
export interface MembershipContract {
  onFrame(from: string, frame: MembershipFrame, now: ClockReading): readonly MembershipCommand[];
  onPeerLost(server: string, now: ClockReading): readonly MembershipCommand[];
  storeResult(
    operationId: number,
    result: StoreResult,
    now: ClockReading,
  ): readonly MembershipCommand[];
  announce(announcement: UpstreamAnnouncement, now: ClockReading): readonly MembershipCommand[];
  setDraining(isDraining: boolean, now: ClockReading): readonly MembershipCommand[];
  /** Announces to the other members that this node leaves. */
  leave(now: ClockReading): readonly MembershipCommand[];
  setConfigurationRevision(revision: number): void;
  tick(now: ClockReading): readonly MembershipCommand[];
  /** Monotonic time at which the next tick is needed. */
  readonly nextTickAt: number;
  members(): readonly MemberRecord[];
  member(server: string): MemberRecord | undefined;
  /**
   * Whether this node is one of the bridge nodes of its availability zone, which exchange member updates
   * with other zones and detect whether those are reachable.
   */
  readonly isBridge: boolean;
}
