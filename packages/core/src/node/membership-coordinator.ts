import { match } from 'ts-pattern';

import { isLive } from '../membership/record-version.js';
import type { MembershipCommand, MembershipContract } from '../membership/membership-contract.js';
import type { MemberRecord } from '../messages/member.js';
import type { NodeIdentity } from '../messages/identity.js';
import { StoreClient } from '../messages/store.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';
import { targetOf } from './target-of.js';

export interface MembershipCoordinatorOptions {
  readonly identity: NodeIdentity;
  readonly membership: MembershipContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  readonly onRevisionSeen: (server: string, revision: number, now: ClockReading) => void;
  /**
   * Called at most once per tick: processing the whole member list on each change would be too
   * expensive.
   */
  readonly onMembersChanged: (
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ) => void;
}

/** Carries out the commands of the membership subsystem and keeps the router's targets up to date. */
export class MembershipCoordinator {
  private hasUnreportedChanges = false;
  private readonly unreachable = new Set<string>();

  public constructor(private readonly options: MembershipCoordinatorOptions) {}

  public apply(commands: readonly MembershipCommand[], now: ClockReading): void {
    const { outbox, onRevisionSeen } = this.options;
    for (const command of commands) {
      match(command)
        .with({ kind: 'send' }, ({ address, frame, to }) => {
          outbox.push({ address, frame, kind: 'send-frame', to });
        })
        .with({ kind: 'store' }, ({ operation, operationId }) => {
          const client = StoreClient.Membership;
          outbox.push({ client, kind: 'store', operation, operationId });
        })
        .with({ kind: 'member-changed' }, ({ member, reachable }) => {
          this.onMemberChanged(member, reachable, now);
        })
        .with({ kind: 'revision-seen' }, ({ revision, server }) => {
          onRevisionSeen(server, revision, now);
        })
        .with({ kind: 'count' }, { kind: 'log' }, (coreCommand) => {
          outbox.push(coreCommand);
        })
        .exhaustive();
    }
  }

  public tick(now: ClockReading): void {
    const { membership, onMembersChanged } = this.options;
    this.apply(membership.tick(now), now);
    if (this.hasUnreportedChanges) {
      this.hasUnreportedChanges = false;
      onMembersChanged(membership.members(), this.unreachable, now);
    }
  }

  /** Whether the next tick will report member changes. */
  public get hasChanges(): boolean {
    return this.hasUnreportedChanges;
  }

  public isReachable(server: string): boolean {
    return !this.unreachable.has(server);
  }

  /**
   * Returns the live peers in this node's availability zone, to which configurations are
   * distributed.
   */
  public zonePeers(): string[] {
    const { identity, membership } = this.options;
    const peers: string[] = [];
    for (const member of membership.members()) {
      const isInSameZone = member.availabilityZone === identity.availabilityZone;
      if (isLive(member) && isInSameZone && member.server !== identity.server) {
        peers.push(member.server);
      }
    }
    return peers;
  }

  private onMemberChanged(member: MemberRecord, reachable: boolean, now: ClockReading): void {
    this.hasUnreportedChanges = true;
    if (reachable) {
      this.unreachable.delete(member.server);
    } else {
      this.unreachable.add(member.server);
    }
    const target = reachable ? targetOf(member) : undefined;
    if (target === undefined) {
      this.options.router.remove(member.server);
    } else {
      this.options.router.upsert(target, now);
    }
  }
}
