import { match } from 'ts-pattern';

import { isLive } from '../membership/member-order.js';
import type { MembershipCommand, MembershipContract } from '../membership/membership-contract.js';
import type { MemberRecord } from '../messages/member.js';
import type { NodeIdentity } from '../messages/identity.js';
import { StoreClient } from '../messages/store.js';
import type { RouterContract } from '../routing/router-contract.js';
import type { ClockReading } from '../shared/clock-reading.js';
import type { Outbox } from './outbox.js';
import { targetOf } from './target-of.js';

export interface MemberBoardOptions {
  readonly identity: NodeIdentity;
  readonly membership: MembershipContract;
  readonly router: RouterContract;
  readonly outbox: Outbox;
  readonly revisionSeen: (server: string, revision: number, now: ClockReading) => void;
  /** Called once a tick after changes: going through all members is too dear for each change. */
  readonly membersChanged: (
    members: readonly MemberRecord[],
    unreachable: ReadonlySet<string>,
    now: ClockReading,
  ) => void;
}

/** Carries out what membership decides and keeps the router's targets. */
export class MemberBoard {
  private hasChanged = false;
  private readonly unreachable = new Set<string>();

  public constructor(private readonly options: MemberBoardOptions) {}

  public apply(commands: readonly MembershipCommand[], now: ClockReading): void {
    const { outbox, revisionSeen } = this.options;
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
          this.memberChanged(member, reachable, now);
        })
        .with({ kind: 'revision-seen' }, ({ revision, server }) => {
          revisionSeen(server, revision, now);
        })
        .with({ kind: 'count' }, { kind: 'log' }, (own) => {
          outbox.push(own);
        })
        .exhaustive();
    }
  }

  public tick(now: ClockReading): void {
    const { membership, membersChanged } = this.options;
    this.apply(membership.tick(now), now);
    if (this.hasChanged) {
      this.hasChanged = false;
      membersChanged(membership.members(), this.unreachable, now);
    }
  }

  /** Whether the next tick passes changes of members on. */
  public get isWaiting(): boolean {
    return this.hasChanged;
  }

  public isReachable(server: string): boolean {
    return !this.unreachable.has(server);
  }

  /** Live members of the own availability zone, to pass configurations on to. */
  public zonePeers(): string[] {
    const { identity, membership } = this.options;
    const peers: string[] = [];
    for (const member of membership.members()) {
      const isNear = member.availabilityZone === identity.availabilityZone;
      if (isLive(member) && isNear && member.server !== identity.server) {
        peers.push(member.server);
      }
    }
    return peers;
  }

  private memberChanged(member: MemberRecord, reachable: boolean, now: ClockReading): void {
    this.hasChanged = true;
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
